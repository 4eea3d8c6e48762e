/** Tracks the planned stop of this process: the remaining work, and when the host can be stopped. */
import { findStopSource, isDrained } from '@poplarpick/decisions';
import type { RemainingWork, StopMarks, StopSource, StopSubject } from '@poplarpick/decisions';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';

/** Period at which the remaining work is checked. */
const CHECK_PERIOD_MS = 100;

/** Status of the drain for operators. */
export interface DrainStatus extends RemainingWork {
  /** Whether a planned stop of this process is marked. */
  marked: boolean;
  /** Source of the mark; null if there is none. */
  source: StopSource | null;
  /** Whether the host can be stopped without interrupting any work. */
  done: boolean;
}

/** Options of a `DrainMonitor`. */
export interface DrainMonitorOptions {
  subject: StopSubject;
  clock: Clock;
  log: Logger;
  readRemainingWork: () => RemainingWork;
}

/** Logs when a planned stop is marked, when the process is drained, and when the mark is removed. */
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

  /** Applies changed marks. */
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
