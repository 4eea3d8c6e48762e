/**
 * Tracks when the configuration service last confirmed a router's revision to be the latest. The router
 * checks with the service only while sidecars send confirmation requests, at an interval that grows with
 * the number of routers.
 */
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { ConfigurationMessageKind } from '../configuration/configuration-task.ts';
import type { ConfigurationTask } from '../configuration/configuration-task.ts';
import type { ConfigurationClient } from '../platform/configuration-client.ts';

/** Shortest time between two checks by one router. */
const MIN_CHECK_INTERVAL_MS = 250;

/** Checks per second of all routers together. */
const MAX_CHECKS_PER_SECOND = 200;

const SECOND_MS = 1_000;

/** Time after the last confirmation request of a sidecar at which checking stops. */
const INTEREST_TIMEOUT_MS = 5_000;

/** Options of a `RevisionChecker`. */
export interface RevisionCheckerOptions {
  client: ConfigurationClient;
  task: ConfigurationTask;
  clock: Clock;
  log: Logger;
  /** Number of routers in the fleet. */
  countRouters: () => number;
}

/** Checks with the service whether there is a newer revision. */
export class RevisionChecker {
  private readonly options: RevisionCheckerOptions;
  private readonly stopController = new AbortController();
  private timer: Timer | undefined;
  /** Whether a check is running or scheduled. */
  private isChecking = false;
  private lastRequestedAt = -Infinity;
  private confirmedAt = -Infinity;
  private confirmedRevision = 0;

  constructor(options: RevisionCheckerOptions) {
    this.options = options;
  }

  /** Time since the service confirmed the revision in force, if it has. Also keeps the checks running. */
  readConfirmationAgeMs(): number | undefined {
    this.recordRequest();
    if (this.confirmedRevision !== this.options.task.revision || this.confirmedRevision === 0)
      return undefined;
    return this.options.clock.monotonic() - this.confirmedAt;
  }

  stop(): void {
    this.stopController.abort();
    this.timer?.stop();
  }

  private recordRequest(): void {
    this.lastRequestedAt = this.options.clock.monotonic();
    if (this.isChecking) return;
    this.isChecking = true;
    void this.check();
  }

  private async check(): Promise<void> {
    const { client, task, clock, log } = this.options;
    const requestedAt = clock.monotonic();
    const { revision } = task;
    try {
      const document = await client.readNewer(revision, this.stopController.signal);
      if (document !== undefined && document.revision > revision)
        task.post({ kind: ConfigurationMessageKind.DocumentReceived, document, source: 'service' });
      else this.recordConfirmation(revision, requestedAt);
    } catch (error) {
      log.debug({ event: 'configuration.check_failed', error: describeError(error) });
    }
    this.scheduleCheck();
  }

  private recordConfirmation(revision: number, requestedAt: number): void {
    this.confirmedRevision = revision;
    this.confirmedAt = requestedAt;
  }

  private scheduleCheck(): void {
    const { clock, countRouters } = this.options;
    this.isChecking =
      !this.stopController.signal.aborted &&
      clock.monotonic() <= this.lastRequestedAt + INTEREST_TIMEOUT_MS;
    if (!this.isChecking) return;
    const intervalMs = Math.max(
      MIN_CHECK_INTERVAL_MS,
      (countRouters() * SECOND_MS) / MAX_CHECKS_PER_SECOND,
    );
    this.timer = clock.after(intervalMs, () => void this.check());
  }
}
