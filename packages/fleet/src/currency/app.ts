/**
 * Plug-in that tells sidecars whether their configuration revision is still the highest: sidecars ask
 * routers, routers ask the configuration service. Answers count from the time of the question, so that
 * a process that was paused takes no old answer for a new one.
 */
import { RevisionConfirmations } from '@poplarpick/decisions';
import { describeError, Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel, Timer } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod } from '../messages.ts';
import {
  admissionKey,
  configurationKey,
  hostDirectoryKey,
  linkHubKey,
  routerSettingsKey,
} from '../component-keys.ts';
import { ConfigurationClient } from '../platform/configuration-client.ts';
import { listLiveRouters } from '../platform/host-directory.ts';
import { AdmissionMessageKind } from '../sidecar/admission-messages.ts';
import { RevisionChecker } from './revision-checker.ts';

const REQUEST_INTERVAL_MS = 250;

/** Routers that a sidecar asks in one period. */
const ROUTERS_PER_INTERVAL = 4;

class RevisionConfirmationPlugin extends Plugin {
  override readonly name: string = 'currency';
  override readonly roles = [Role.Router];
  override readonly requires: string[] = ['links', 'configuration'];
  private checker: RevisionChecker | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const task = kernel.resolve(configurationKey);
    const checker = new RevisionChecker({
      client: new ConfigurationClient(kernel.resolve(routerSettingsKey).platform.configuration),
      task,
      clock: kernel.clock,
      log: kernel.log,
      countRouters: () => listLiveRouters(kernel.resolve(hostDirectoryKey).hosts).length,
    });
    this.checker = checker;
    kernel.resolve(linkHubKey).onLink((link) => {
      link.handleCall(CallMethod.ConfirmRevision, () => {
        const serviceAgeMs = checker.readConfirmationAgeMs();
        return { revision: task.revision, serviceAgeMs };
      });
    });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.checker?.stop();
    return Promise.resolve();
  }
}

class ConfirmationRequestsPlugin extends Plugin {
  override readonly name = 'currency questions';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['links', 'configuration', 'sidecar'];
  private readonly confirmations = new RevisionConfirmations();
  private timer: Timer | undefined;
  private nextRouterIndex = 0;

  override async start(kernel: Kernel): Promise<void> {
    this.timer = kernel.clock.every(REQUEST_INTERVAL_MS, () => this.requestConfirmations(kernel));
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.timer?.stop();
    return Promise.resolve();
  }

  private requestConfirmations(kernel: Kernel): void {
    const routers = kernel.resolve(linkHubKey).peers(Role.Router);
    const count = Math.min(ROUTERS_PER_INTERVAL, routers.length);
    for (let index = 0; index < count; index += 1) {
      const peer = routers[(this.nextRouterIndex + index) % routers.length];
      if (peer !== undefined) this.requestConfirmation(kernel, peer);
    }
    this.nextRouterIndex += count;
  }

  private requestConfirmation(kernel: Kernel, peer: Peer): void {
    const requestedAt = kernel.clock.monotonic();
    const { revision } = kernel.resolve(configurationKey);
    peer.link
      .call(CallMethod.ConfirmRevision, {})
      .then((answer) => {
        const routers = listLiveRouters(kernel.resolve(hostDirectoryKey).hosts).map(({ id }) => id);
        const confirmedAt = this.confirmations.recordAnswer(
          { router: peer.host, ...answer },
          revision,
          requestedAt,
          routers,
        );
        if (confirmedAt === undefined) return;
        kernel
          .resolve(admissionKey)
          .post({ kind: AdmissionMessageKind.RevisionConfirmed, revision, confirmedAt });
      })
      .catch((error: unknown) => {
        kernel.log.debug({ event: 'configuration.unconfirmed', error: describeError(error) });
      });
  }
}

registerPlugin(() => new RevisionConfirmationPlugin());
registerPlugin(() => new ConfirmationRequestsPlugin());
