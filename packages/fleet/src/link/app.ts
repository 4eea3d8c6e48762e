/**
 * Plug-in that owns the links between processes. Routers accept links and dial their overlay
 * neighbours; sidecars only dial routers. Both choose whom to dial from the host list.
 */
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import {
  hostDirectoryKey,
  identityKey,
  linkHubKey,
  linkPlannerKey,
  routerSettingsKey,
  sidecarSettingsKey,
  statusBoardKey,
  linkTrafficKey,
  transportKey,
  listenersKey,
} from '../component-keys.ts';
import { HostDirectory } from '../platform/host-directory.ts';
import { LinkHub } from './link-hub.ts';
import { LinkPlanner } from './link-planner.ts';
import { LinkListener } from './link-listener.ts';

class LinksPlugin extends Plugin {
  override readonly name = 'links';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['status', 'trust'];
  private kernel: Kernel | undefined;
  private hub: LinkHub | undefined;
  private directory: HostDirectory | undefined;
  private listener: LinkListener | undefined;
  private planner: LinkPlanner | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const identity = kernel.resolve(identityKey);
    const traffic = kernel.resolve(linkTrafficKey);
    const endpoint =
      kernel.role === Role.Sidecar ? kernel.resolve(sidecarSettingsKey).endpoint.name : undefined;
    const hello = { ...identity, role: kernel.role, endpoint };
    const { clock, log, metrics } = kernel;
    this.hub = new LinkHub({
      hello,
      clock,
      log,
      metrics,
      traffic,
      transport: kernel.resolve(transportKey),
    });
    kernel.provide(linkHubKey, this.hub);
    const hub = this.hub;
    const lossRate = readMessageLossRate(kernel);
    if (lossRate > 0)
      hub.onLink((link) => link.simulateMessageLoss(() => Math.random() < lossRate));
    kernel.resolve(statusBoardKey).add('links', () => ({
      peers: hub.peers().map((peer) => peer.host),
      ...traffic,
    }));
    this.directory = this.createHostDirectory(kernel, hub);
    this.kernel = kernel;
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    const { kernel, hub } = this;
    if (kernel === undefined || hub === undefined) return;
    if (kernel.role === Role.Router) await this.listen(kernel, hub);
    this.directory?.start();
  }

  override async stop(): Promise<void> {
    this.directory?.stop();
    this.planner?.stop();
    this.listener?.close();
    this.hub?.close();
    return Promise.resolve();
  }

  private async listen(kernel: Kernel, hub: LinkHub): Promise<void> {
    const { links, limits } = kernel.resolve(routerSettingsKey);
    const guard = kernel
      .resolve(listenersKey)
      .guard({ name: 'links', maxConnections: limits.connections });
    this.listener = new LinkListener(kernel.resolve(transportKey), guard, (socket) =>
      hub.accept(socket, () => guard.keep(socket)),
    );
    const address = await this.listener.listen(links.address);
    kernel.log.info({ event: 'links.listening', address });
    kernel.resolve(statusBoardKey).add('address.links', () => address);
  }

  private createHostDirectory(kernel: Kernel, hub: LinkHub): HostDirectory {
    const { clock, log, role, host } = kernel;
    const { platform } =
      role === Role.Router ? kernel.resolve(routerSettingsKey) : kernel.resolve(sidecarSettingsKey);
    const directory = new HostDirectory({ url: platform.hosts, clock, log });
    this.planner = new LinkPlanner({ role, host, hub, directory, clock });
    kernel.provide(hostDirectoryKey, directory);
    kernel.provide(linkPlannerKey, this.planner);
    return directory;
  }
}

function readMessageLossRate(kernel: Kernel): number {
  const settings =
    kernel.role === Role.Router
      ? kernel.resolve(routerSettingsKey)
      : kernel.resolve(sidecarSettingsKey);
  return settings.faults?.message_loss ?? 0;
}

registerPlugin(() => new LinksPlugin());
