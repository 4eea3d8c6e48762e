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
} from '../parts.ts';
import { ConfigurationClient } from '../platform/configuration-client.ts';
import { listLiveRouters } from '../platform/host-directory.ts';
import { AdmissionMessageKind } from '../sidecar/admission-messages.ts';
import { RevisionChecker } from './revision-checker.ts';

const ASK_PERIOD_MS = 250;

/** Routers that a sidecar asks in one period. */
const ASKED_AT_ONCE = 4;

class CurrencyPlugin extends Plugin {
  override readonly name: string = 'currency';
  override readonly roles = [Role.Router];
  override readonly requires: string[] = ['links', 'configuration'];
  private check: RevisionChecker | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const task = kernel.resolve(configurationKey);
    const check = new RevisionChecker({
      client: new ConfigurationClient(kernel.resolve(routerSettingsKey).platform.configuration),
      task,
      clock: kernel.clock,
      log: kernel.log,
      countRouters: () => listLiveRouters(kernel.resolve(hostDirectoryKey).hosts).length,
    });
    this.check = check;
    kernel.resolve(linkHubKey).onLink((link) => {
      link.handleCall(CallMethod.ConfirmRevision, () => {
        const serviceAgeMs = check.readConfirmationAgeMs();
        return { revision: task.revision, serviceAgeMs };
      });
    });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.check?.stop();
    return Promise.resolve();
  }
}

class CurrencyQuestionsPlugin extends Plugin {
  override readonly name = 'currency questions';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['links', 'configuration', 'sidecar'];
  private readonly confirmations = new RevisionConfirmations();
  private timer: Timer | undefined;
  private turn = 0;

  override async start(kernel: Kernel): Promise<void> {
    this.timer = kernel.clock.every(ASK_PERIOD_MS, () => this.ask(kernel));
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.timer?.stop();
    return Promise.resolve();
  }

  private ask(kernel: Kernel): void {
    const routers = kernel.resolve(linkHubKey).peers(Role.Router);
    const count = Math.min(ASKED_AT_ONCE, routers.length);
    for (let index = 0; index < count; index += 1) {
      const peer = routers[(this.turn + index) % routers.length];
      if (peer !== undefined) this.askOne(kernel, peer);
    }
    this.turn += count;
  }

  private askOne(kernel: Kernel, peer: Peer): void {
    const askedAt = kernel.clock.monotonic();
    const { revision } = kernel.resolve(configurationKey);
    peer.link
      .call(CallMethod.ConfirmRevision, {})
      .then((answer) => {
        const routers = listLiveRouters(kernel.resolve(hostDirectoryKey).hosts).map(({ id }) => id);
        const confirmedAt = this.confirmations.recordAnswer(
          { router: peer.host, ...answer },
          revision,
          askedAt,
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

registerPlugin(() => new CurrencyPlugin());
registerPlugin(() => new CurrencyQuestionsPlugin());
