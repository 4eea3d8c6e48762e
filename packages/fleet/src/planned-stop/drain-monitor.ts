/** Follows the planned stop of this process: what is left to finish, and when the host can be taken. */
import { findStopSource, isDrained } from '@poplarpick/decisions';
import type { RemainingWork, StopMarks, StopSource, StopSubject } from '@poplarpick/decisions';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';

/** Period of the look at what is left. */
const CHECK_PERIOD_MS = 100;

/** What operators see of a planned stop. */
export interface DrainStatus extends RemainingWork {
  marked: boolean;
  /** Where the mark comes from. */
  source: StopSource | null;
  /** Whether the host can be taken. */
  done: boolean;
}

/** Options of a `DrainMonitor`. */
export interface DrainMonitorOptions {
  subject: StopSubject;
  clock: Clock;
  log: Logger;
  readRemainingWork: () => RemainingWork;
}

/** Logs the begin, the end and the withdrawal of a planned stop. */
export class DrainMonitor {
  private readonly options: DrainMonitorOptions;
  private stopSource: StopSource | undefined;
  private timer: Timer | undefined;

  constructor(options: DrainMonitorOptions) {
    this.options = options;
  }

  readStatus(): DrainStatus {
    const work = this.options.readRemainingWork();
    const { stopSource } = this;
    return {
      marked: stopSource !== undefined,
      source: stopSource ?? null,
      ...work,
      done: isDrained(stopSource, work),
    };
  }

  /** Takes changed marks in. */
  update(marks: StopMarks): void {
    const { subject, log, clock } = this.options;
    const previousSource = this.stopSource;
    this.stopSource = findStopSource(marks, subject);
    if (previousSource === this.stopSource) return;
    this.timer?.stop();
    if (this.stopSource === undefined) {
      log.info({ event: 'drain.cleared' });
      return;
    }
    log.info({
      event: 'drain.marked',
      source: this.stopSource,
      ...this.options.readRemainingWork(),
    });
    this.timer = clock.every(CHECK_PERIOD_MS, () => this.checkDrained());
  }

  close(): void {
    this.timer?.stop();
  }

  private checkDrained(): void {
    if (!this.readStatus().done) return;
    this.timer?.stop();
    this.options.log.info({ event: 'drain.done' });
  }
}
