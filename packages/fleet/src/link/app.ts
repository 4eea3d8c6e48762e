/** Plug-in that owns the links: routers listen, sidecars dial every router that the host list shows. */
import { describeError, Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel, Timer } from '@poplarpick/kernel';
import {
  identityKey,
  linkHubKey,
  routerSettingsKey,
  sidecarSettingsKey,
  statusBoardKey,
  trafficKey,
} from '../parts.ts';
import { HostState, readHosts } from '../platform/host-list-client.ts';
import type { Host } from '../platform/host-list-client.ts';
import { LinkHub } from './link-hub.ts';
import { LinkListener } from './link-listener.ts';

/** Time between two looks at the host list. */
const HOST_LIST_PERIOD_MS = 1_000;

class LinksPlugin extends Plugin {
  override readonly name = 'links';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['status'];
  private kernel: Kernel | undefined;
  private hub: LinkHub | undefined;
  private listener: LinkListener | undefined;
  private timer: Timer | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const identity = kernel.part(identityKey);
    const traffic = kernel.part(trafficKey);
    const endpoint =
      kernel.role === Role.Sidecar ? kernel.part(sidecarSettingsKey).endpoint.name : undefined;
    const hello = { ...identity, role: kernel.role, endpoint };
    const { clock, log, metrics } = kernel;
    this.hub = new LinkHub({ hello, clock, log, metrics, traffic });
    kernel.provide(linkHubKey, this.hub);
    const hub = this.hub;
    kernel.part(statusBoardKey).add('links', () => ({
      peers: hub.peers().map((peer) => peer.host),
      ...traffic,
    }));
    this.kernel = kernel;
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    const { kernel, hub } = this;
    if (kernel === undefined || hub === undefined) return;
    if (kernel.role === Role.Router) await this.listen(kernel, hub);
    else this.followHosts(kernel, hub);
  }

  override async stop(): Promise<void> {
    this.timer?.stop();
    this.listener?.close();
    this.hub?.close();
    return Promise.resolve();
  }

  private async listen(kernel: Kernel, hub: LinkHub): Promise<void> {
    this.listener = new LinkListener((socket) => hub.accept(socket));
    const address = await this.listener.listen(kernel.part(routerSettingsKey).links.address);
    kernel.log.info({ event: 'links.listening', address });
    kernel.part(statusBoardKey).add('address.links', () => address);
  }

  private followHosts(kernel: Kernel, hub: LinkHub): void {
    const url = kernel.part(sidecarSettingsKey).platform.hosts;
    const look = (): void => {
      readHosts(url)
        .then((hosts) => hub.dialOnly(routerAddresses(hosts)))
        .catch((error: unknown) => {
          kernel.log.warn({ event: 'host_list.unavailable', error: describeError(error) });
        });
    };
    look();
    this.timer = kernel.clock.every(HOST_LIST_PERIOD_MS, look);
  }
}

/** Addresses of the live routers in a host list. */
export function routerAddresses(hosts: readonly Host[]): Set<string> {
  const live = hosts.filter((host) => host.role === Role.Router && host.state === HostState.Live);
  return new Set(live.flatMap((host) => host.address ?? []));
}

registerPlugin(() => new LinksPlugin());
