/** A clock for simulated time. */
import { Clock } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';

/** A clock that stands at the simulated time; its timers never fire. */
export class ReplayClock extends Clock {
  nowMs = 0;

  override now(): number {
    return this.nowMs;
  }

  override monotonic(): number {
    return this.nowMs;
  }

  override after(): Timer {
    return { stop: () => undefined };
  }

  override every(): Timer {
    return { stop: () => undefined };
  }
}
