/**
 * Plug-ins that confirm to sidecars that their configuration revision is still the highest. Sidecars
 * send confirmation requests to routers, and routers check with the configuration service. The lease of
 * a confirmation starts when it was requested, so a process that was paused does not treat a delayed
 * answer as recent.
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

/** Interval of the confirmation requests of a sidecar. */
const REQUEST_INTERVAL_MS = 250;

/** Number of routers to which a sidecar sends a request in each interval, in rotation. */
const ROUTERS_PER_INTERVAL = 4;

/** Answers confirmation requests at a router. */
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

/** Sends confirmation requests from a sidecar. */
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
