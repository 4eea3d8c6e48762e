/**
 * Plug-in that owns the links: routers listen and dial their neighbours among the routers, sidecars
 * dial the routers that are theirs, as the host list shows them.
 */
import { selectNeighbours, selectRouters } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel, Timer } from '@poplarpick/kernel';
import {
  hostDirectoryKey,
  identityKey,
  linkHubKey,
  routerSettingsKey,
  sidecarSettingsKey,
  statusBoardKey,
  trafficKey,
  transportKey,
} from '../parts.ts';
import { HostDirectory, listLiveRouters } from '../platform/host-directory.ts';
import type { Host } from '../platform/host-list-client.ts';
import { LinkHub } from './link-hub.ts';
import type { DialTarget } from './link-hub.ts';
import { LinkListener } from './link-listener.ts';

/** Time between two looks at links that are no longer wanted. */
const RETIRE_PERIOD_MS = 1_000;

class LinksPlugin extends Plugin {
  override readonly name = 'links';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['status', 'trust'];
  private kernel: Kernel | undefined;
  private hub: LinkHub | undefined;
  private directory: HostDirectory | undefined;
  private listener: LinkListener | undefined;
  private timer: Timer | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const identity = kernel.part(identityKey);
    const traffic = kernel.part(trafficKey);
    const endpoint =
      kernel.role === Role.Sidecar ? kernel.part(sidecarSettingsKey).endpoint.name : undefined;
    const hello = { ...identity, role: kernel.role, endpoint };
    const { clock, log, metrics } = kernel;
    this.hub = new LinkHub({
      hello,
      clock,
      log,
      metrics,
      traffic,
      transport: kernel.part(transportKey),
    });
    kernel.provide(linkHubKey, this.hub);
    const hub = this.hub;
    kernel.part(statusBoardKey).add('links', () => ({
      peers: hub.peers().map((peer) => peer.host),
      ...traffic,
    }));
    this.directory = this.followHosts(kernel, hub);
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
    this.timer?.stop();
    this.listener?.close();
    this.hub?.close();
    return Promise.resolve();
  }

  private async listen(kernel: Kernel, hub: LinkHub): Promise<void> {
    this.listener = new LinkListener(kernel.part(transportKey), (socket) => hub.accept(socket));
    const address = await this.listener.listen(kernel.part(routerSettingsKey).links.address);
    kernel.log.info({ event: 'links.listening', address });
    kernel.part(statusBoardKey).add('address.links', () => address);
  }

  private followHosts(kernel: Kernel, hub: LinkHub): HostDirectory {
    const { clock, log, role, host } = kernel;
    const { platform } =
      role === Role.Router ? kernel.part(routerSettingsKey) : kernel.part(sidecarSettingsKey);
    const directory = new HostDirectory({ url: platform.hosts, clock, log });
    let targets: DialTarget[] = [];
    directory.onChange((hosts) => {
      targets = chooseTargets(role, host, hosts);
      hub.dialOnly(targets);
    });
    this.timer = clock.every(RETIRE_PERIOD_MS, () => hub.dialOnly(targets));
    kernel.provide(hostDirectoryKey, directory);
    return directory;
  }
}

/** The routers that a process dials, given the host list. */
export function chooseTargets(role: Role, self: string, hosts: readonly Host[]): DialTarget[] {
  const routers = listLiveRouters(hosts);
  const names = routers.map((router) => router.id);
  const chosen = role === Role.Router ? selectNeighbours(self, names) : selectRouters(self, names);
  return routers
    .filter((router) => chosen.has(router.id))
    .map(({ id, address }) => ({ host: id, address }));
}

registerPlugin(() => new LinksPlugin());
