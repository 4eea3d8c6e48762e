/**
 * The requests of callers that are open in one router, each from the arrival of its head to the last byte of its
 * response. A router that stops waits for them: those whose bodies are awaited aren't queued yet, and those
 * that have ended in the queues may not have reached their callers.
 */
import type { ServerResponse } from 'node:http';
import type { Clock, Timer } from '@poplarpick/kernel';

const CHECK_PERIOD_MS = 250;

/** Options of an `OpenExchanges`. */
export interface OpenExchangesOptions {
  clock: Clock;
  /** Time in which a caller must read the rest of an answer that is complete while the router stops, in ms. */
  unreadLimitMs: number;
}

/** The open requests of one router. */
export class OpenExchanges {
  private readonly options: OpenExchangesOptions;
  private readonly responses = new Set<ServerResponse>();
  /** Monotonic times at which complete answers were first seen to be unsent, in ms. */
  private readonly unsentSince = new Map<ServerResponse, number>();
  private timer: Timer | undefined;
  private onIdle: (() => void) | undefined;

  constructor(options: OpenExchangesOptions) {
    this.options = options;
  }

  get size(): number {
    return this.responses.size;
  }

  /** Adds a request whose head has arrived. */
  add(response: ServerResponse): void {
    this.responses.add(response);
    response.once('close', () => {
      this.responses.delete(response);
      this.unsentSince.delete(response);
      if (this.responses.size === 0) this.onIdle?.();
    });
  }

  /** Cuts off callers that don't read their answers in time, from now on. */
  beginLimit(): void {
    this.timer ??= this.options.clock.every(CHECK_PERIOD_MS, () => this.checkLimit());
  }

  endLimit(): void {
    this.timer?.stop();
    this.timer = undefined;
    this.unsentSince.clear();
  }

  /** Resolves once no request is open. */
  async waitUntilIdle(): Promise<void> {
    if (this.responses.size === 0) return;
    await new Promise<void>((resolve) => (this.onIdle = resolve));
  }

  private checkLimit(): void {
    const now = this.options.clock.monotonic();
    for (const response of this.responses) {
      if (!response.writableEnded) continue;
      const since = this.unsentSince.get(response) ?? now;
      this.unsentSince.set(response, since);
      if (now - since >= this.options.unreadLimitMs) response.destroy();
    }
  }
}
