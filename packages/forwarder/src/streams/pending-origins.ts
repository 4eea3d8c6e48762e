/**
 * Streams that have begun at this router and whose origins aren't proved yet. A caller that takes such a stream up
 * waits for the proof, within a bound.
 */
import type { StreamKey, StreamKeys } from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';

/** Streams by key, until their origins are recorded. */
export class PendingOrigins {
  private readonly clock: Clock;
  private readonly settled = new Map<StreamKey, Promise<void>>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Records that the origin of a stream is being proved. Call the result once it is recorded. */
  begin(keys: StreamKeys): () => void {
    let resolve = (): void => undefined;
    const settled = new Promise<void>((onSettled) => (resolve = onSettled));
    const own = [keys.byRequest, keys.byPrompt].filter((key) => key !== undefined);
    for (const key of own) this.settled.set(key, settled);
    return () => {
      for (const key of own) if (this.settled.get(key) === settled) this.settled.delete(key);
      resolve();
    };
  }

  /** Waits at most `maxWaitMs` until no origin of a stream with the key is being proved; false if one still is. */
  async waitFor(key: StreamKey, maxWaitMs: number): Promise<boolean> {
    const settled = this.settled.get(key);
    if (settled === undefined) return true;
    const isInTime = settled.then(() => true);
    const timeout = new Promise<boolean>((resolve) => {
      const timer = this.clock.afterPoll(maxWaitMs, () => resolve(false));
      void isInTime.then(() => timer.stop());
    });
    return Promise.race([isInTime, timeout]);
  }
}
