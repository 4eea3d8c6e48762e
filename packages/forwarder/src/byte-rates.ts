/** Bytes a second that callers send to a router and get from it, over the latest period. */

/** Length of a period, in ms. */
const PERIOD_MS = 1_000;

/** Bytes in each direction, as the router sees them. */
export interface LinkBytes {
  received: number;
  sent: number;
}

/** Adds bytes up by periods. */
export class ByteRates {
  private startedAt: number;
  private current: LinkBytes = { received: 0, sent: 0 };
  private perSecond: LinkBytes = { received: 0, sent: 0 };

  /** `now` is a monotonic time, in ms. */
  constructor(now: number) {
    this.startedAt = now;
  }

  record({ received, sent }: LinkBytes, now: number): void {
    this.advance(now);
    this.current.received += received;
    this.current.sent += sent;
  }

  /** Bytes a second in the latest period that has ended. */
  read(now: number): LinkBytes {
    this.advance(now);
    return this.perSecond;
  }

  private advance(now: number): void {
    const elapsedMs = now - this.startedAt;
    if (elapsedMs < PERIOD_MS) return;
    const toRate = (bytes: number): number => Math.round((bytes * 1_000) / elapsedMs);
    const { received, sent } = this.current;
    this.perSecond = { received: toRate(received), sent: toRate(sent) };
    this.current = { received: 0, sent: 0 };
    this.startedAt = now;
  }
}
