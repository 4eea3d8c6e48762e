/**
 * Plug-in that distributes the fleet configuration. A few routers of each data centre, the readers,
 * watch the configuration service; every process offers its document to its peers, which fetch it if it
 * is newer than theirs. A process that has just started waits for its peers' versions before it puts a
 * document in force.
 */
import {
  ASSUMED_PROCESS_COUNT,
  isPeerWaitOver,
  selectConfigurationReaders,
} from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel, Timer } from '@poplarpick/kernel';
import {
  configurationKey,
  hostDirectoryKey,
  identityKey,
  linkHubKey,
  linkPlannerKey,
  routerSettingsKey,
  sidecarSettingsKey,
  statusBoardKey,
} from '../component-keys.ts';
import { ConfigurationClient } from '../platform/configuration-client.ts';
import { listLiveRouters } from '../platform/host-directory.ts';
import type { HostDirectory } from '../platform/host-directory.ts';
import { ConfigurationMessageKind, ConfigurationTask } from './configuration-task.ts';
import { DocumentExchange } from './document-exchange.ts';
import { ServicePoller } from './service-poller.ts';

/** Interval at which a starting process checks whether the peer wait is over. */
const PEER_WAIT_CHECK_INTERVAL_MS = 5;

class ConfigurationPlugin extends Plugin {
  override readonly name = 'configuration';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['links', 'status'];
  private kernel: Kernel | undefined;
  private exchange: DocumentExchange | undefined;
  private poller: ServicePoller | undefined;
  private startTimer: Timer | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const { clock, log, metrics } = kernel;
    const task = new ConfigurationTask(log, metrics);
    kernel.provide(configurationKey, task);
    this.kernel = kernel;
    this.exchange = new DocumentExchange({ task, hub: kernel.resolve(linkHubKey), log });
    const { platform } =
      kernel.role === Role.Router
        ? kernel.resolve(routerSettingsKey)
        : kernel.resolve(sidecarSettingsKey);
    this.poller = new ServicePoller({
      client: new ConfigurationClient(platform.configuration),
      task,
      clock,
      log,
      isReader: () => isReader(kernel),
      countProcesses: () => countProcesses(kernel.resolve(hostDirectoryKey), task),
    });
    kernel.resolve(statusBoardKey).add('configuration', () => ({
      revision: task.revision,
      digest: task.version.digest,
      preset: task.current?.configuration.preset ?? null,
      refused: task.lastRefusal ?? null,
      reader: isReader(kernel),
    }));
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    const { kernel } = this;
    if (kernel === undefined) return;
    const startedAt = kernel.clock.monotonic();
    this.startTimer = kernel.clock.every(PEER_WAIT_CHECK_INTERVAL_MS, () => {
      if (!this.isPeerWaitOver(kernel, startedAt)) return;
      this.startTimer?.stop();
      kernel.resolve(configurationKey).post({ kind: ConfigurationMessageKind.PeerWaitOver });
      void this.poller?.run();
    });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.startTimer?.stop();
    this.poller?.stop();
    return Promise.resolve();
  }

  private isPeerWaitOver(kernel: Kernel, startedAt: number): boolean {
    const directory = kernel.resolve(hostDirectoryKey);
    return isPeerWaitOver({
      elapsedMs: kernel.clock.monotonic() - startedAt,
      isHostListLoaded: directory.isLoaded,
      expectedPeers: kernel.resolve(linkPlannerKey).neighbourCount,
      respondedPeers: this.exchange?.respondedPeers ?? 0,
      isFetching: this.exchange?.isFetching ?? false,
    });
  }
}

/** Whether this process is one of the configuration readers of its data centre. */
function isReader(kernel: Kernel): boolean {
  if (kernel.role !== Role.Router) return false;
  const { host, dataCentre } = kernel.resolve(identityKey);
  const { hosts } = kernel.resolve(hostDirectoryKey);
  const usable = new Set(kernel.resolve(linkPlannerKey).listUsableRouters());
  const routers = listLiveRouters(hosts)
    .filter((router) => router.dataCentre === dataCentre && usable.has(router.id))
    .map((router) => router.id);
  return selectConfigurationReaders(dataCentre, [...new Set([...routers, host])]).has(host);
}

/** Number of processes in the fleet: the listed ones, but at least one sidecar per endpoint. */
function countProcesses(directory: HostDirectory, task: ConfigurationTask): number {
  if (!directory.isLoaded) return ASSUMED_PROCESS_COUNT;
  const routers = directory.hosts.filter((host) => host.role === Role.Router).length;
  const sidecars = directory.hosts.length - routers;
  const endpoints = task.current?.configuration.endpoints.length ?? 0;
  return routers + Math.max(sidecars, endpoints);
}

registerPlugin(() => new ConfigurationPlugin());
