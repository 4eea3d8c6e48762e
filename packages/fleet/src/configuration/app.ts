/**
 * Plug-in that keeps the configuration in force: routers watch the configuration service, and every
 * process passes what it has to its peers, which fetch a revision that is higher than their own.
 */
import { Plugin, registerPlugin, Role, describeError } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { Link } from '../link/link.ts';
import type { LinkHub } from '../link/link-hub.ts';
import { CallMethod, NoticeMethod } from '../messages.ts';
import { configurationKey, linkHubKey, routerSettingsKey, statusBoardKey } from '../parts.ts';
import { ConfigurationClient } from '../platform/configuration-client.ts';
import { ConfigurationTask } from './configuration-task.ts';

const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 2_000;

class ConfigurationPlugin extends Plugin {
  override readonly name = 'configuration';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['links', 'status'];
  private kernel: Kernel | undefined;
  private readonly stopping = new AbortController();

  override async start(kernel: Kernel): Promise<void> {
    const task = new ConfigurationTask(kernel.log, kernel.metrics);
    kernel.provide(configurationKey, task);
    const hub = kernel.part(linkHubKey);
    kernel.part(statusBoardKey).add('configuration', () => ({
      revision: task.revision,
      preset: task.current?.configuration.preset ?? null,
      refused: task.lastRefusal ?? null,
    }));
    shareWithPeers(kernel, task, hub);
    this.kernel = kernel;
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    const { kernel } = this;
    if (kernel?.role === Role.Router) {
      const client = new ConfigurationClient(kernel.part(routerSettingsKey).platform.configuration);
      void this.followService(kernel, kernel.part(configurationKey), client);
    }
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    return Promise.resolve();
  }

  private async followService(
    kernel: Kernel,
    task: ConfigurationTask,
    client: ConfigurationClient,
  ): Promise<void> {
    const { signal } = this.stopping;
    let retryMs = FIRST_RETRY_MS;
    while (!signal.aborted) {
      try {
        const document = await client.watch(task.revision, signal);
        if (document !== undefined) task.post({ document, source: 'service' });
        // A stale or refused revision is answered at once, so the next call waits a little.
        if (document !== undefined && document.revision > task.revision)
          await pause(kernel, retryMs);
        retryMs = FIRST_RETRY_MS;
      } catch (error) {
        if (signal.aborted) return;
        kernel.log.warn({
          event: 'configuration.service_unavailable',
          error: describeError(error),
        });
        await pause(kernel, retryMs);
        retryMs = Math.min(retryMs * 2, LONGEST_RETRY_MS);
      }
    }
  }
}

function shareWithPeers(kernel: Kernel, task: ConfigurationTask, hub: LinkHub): void {
  const fetch = (link: Link): void => {
    link
      .call(CallMethod.FetchConfiguration, { revision: task.revision })
      .then((document) => task.post({ document, source: hub.peerOf(link)?.host ?? link.remote }))
      .catch((error: unknown) => {
        kernel.log.warn({
          event: 'configuration.fetch_failed',
          remote: link.remote,
          error: describeError(error),
        });
      });
  };
  hub.onLink((link) => {
    link.handleCall(
      CallMethod.FetchConfiguration,
      () => task.current?.document ?? { revision: 0, text: '' },
    );
    link.handleNotice(NoticeMethod.Revision, ({ revision }) => {
      if (revision > task.revision) fetch(link);
    });
  });
  hub.onJoin((peer) => peer.link.notify(NoticeMethod.Revision, { revision: task.revision }));
  task.onChange(({ document }) => {
    for (const peer of hub.peers())
      peer.link.notify(NoticeMethod.Revision, { revision: document.revision });
  });
}

async function pause(kernel: Kernel, delayMs: number): Promise<void> {
  return new Promise((resolve) => void kernel.clock.after(delayMs, resolve));
}

registerPlugin(() => new ConfigurationPlugin());
