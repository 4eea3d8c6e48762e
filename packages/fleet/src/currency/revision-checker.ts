/**
 * A router's knowledge of when the configuration service last confirmed its revision. It asks the
 * service only while sidecars want to know, and the less often the more routers there are.
 */
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { ConfigurationMessageKind } from '../configuration/configuration-task.ts';
import type { ConfigurationTask } from '../configuration/configuration-task.ts';
import type { ConfigurationClient } from '../platform/configuration-client.ts';

const SHORTEST_PERIOD_MS = 250;

/** Checks a second that all routers make together at most. */
const FLEET_CHECKS_PER_SECOND = 200;

const SECOND_MS = 1_000;

/** Time for which the service is asked after the last question of a sidecar. */
const WANTED_MS = 5_000;

/** Options of a `RevisionChecker`. */
export interface RevisionCheckerOptions {
  client: ConfigurationClient;
  task: ConfigurationTask;
  clock: Clock;
  log: Logger;
  /** Number of routers in the fleet. */
  countRouters: () => number;
}

/** Asks the service whether there is a newer revision. */
export class RevisionChecker {
  private readonly options: RevisionCheckerOptions;
  private readonly stopping = new AbortController();
  private timer: Timer | undefined;
  /** Whether a check is under way or planned. */
  private active = false;
  private wantedAt = -Infinity;
  private confirmedAt = -Infinity;
  private confirmed = 0;

  constructor(options: RevisionCheckerOptions) {
    this.options = options;
  }

  /** Time since the service confirmed the revision in force; undefined if it has not. */
  readConfirmationAgeMs(): number | undefined {
    this.want();
    if (this.confirmed !== this.options.task.revision || this.confirmed === 0) return undefined;
    return this.options.clock.monotonic() - this.confirmedAt;
  }

  stop(): void {
    this.stopping.abort();
    this.timer?.stop();
  }

  private want(): void {
    this.wantedAt = this.options.clock.monotonic();
    if (this.active) return;
    this.active = true;
    void this.check();
  }

  private async check(): Promise<void> {
    const { client, task, clock, log } = this.options;
    const askedAt = clock.monotonic();
    const { revision } = task;
    try {
      const document = await client.check(revision, this.stopping.signal);
      if (document !== undefined && document.revision > revision)
        task.post({ kind: ConfigurationMessageKind.DocumentReceived, document, source: 'service' });
      else this.note(revision, askedAt);
    } catch (error) {
      log.debug({ event: 'configuration.check_failed', error: describeError(error) });
    }
    this.checkLater();
  }

  private note(revision: number, askedAt: number): void {
    this.confirmed = revision;
    this.confirmedAt = askedAt;
  }

  private checkLater(): void {
    const { clock, countRouters } = this.options;
    this.active = !this.stopping.signal.aborted && clock.monotonic() <= this.wantedAt + WANTED_MS;
    if (!this.active) return;
    const period = Math.max(
      SHORTEST_PERIOD_MS,
      (countRouters() * SECOND_MS) / FLEET_CHECKS_PER_SECOND,
    );
    this.timer = clock.after(period, () => void this.check());
  }
}
