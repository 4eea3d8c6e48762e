/**
 * A caller in simulated time. It keeps a connection as long as the router does, opens another one while that one is in
 * use, leaves a router that hasn't read its call after a while, and tries once more at another router.
 */
import type { Random } from '@poplarpick/load';
import type { LoadBalancer } from './load-balancer.ts';
import type { SimulatedRouter } from './simulated-router.ts';

/** Time after which a caller leaves a router that hasn't read its call, in ms. */
const PATIENCE_MS = 1_000;

/** Time in which a call has to be read to be in time, in ms. */
const OBJECTIVE_MS = 500;

const TRIES = 2;

const HASH_LIMIT = 1_000_000;

/** What became of the calls of some callers. */
export interface CallCounts {
  sent: number;
  inTime: number;
}

/** A call that awaits being read. */
interface OpenCall {
  sentAt: number;
  triedAt: number;
  tries: number;
  isRead: boolean;
}

/** Options of a `SimulatedCaller`. */
export interface SimulatedCallerOptions {
  dataCentre: string;
  balancer: LoadBalancer<SimulatedRouter>;
  random: Random;
  /** Calls a second at a time. */
  ratePerSecond: (now: number) => number;
  counts: CallCounts;
  /** Calls that are sent earlier aren't counted, in ms. */
  countedFrom: number;
}

/** One caller. */
export class SimulatedCaller {
  private readonly options: SimulatedCallerOptions;
  private readonly hash: number;
  private kept: SimulatedRouter | undefined;
  private isKeptInUse = false;
  private nextAt = 0;
  private open: OpenCall[] = [];

  constructor(options: SimulatedCallerOptions) {
    this.options = options;
    this.hash = options.random.integer(HASH_LIMIT);
  }

  /** Sends what is due, and tries again what wasn't read in time. */
  advance(now: number): void {
    const { random, ratePerSecond } = this.options;
    while (this.nextAt <= now) {
      this.send({ sentAt: now, triedAt: now, tries: 0, isRead: false });
      this.nextAt = now + random.interarrivalMs(ratePerSecond(now));
    }
    const late = this.open.filter((call) => now - call.triedAt > PATIENCE_MS);
    this.open = this.open.filter((call) => !call.isRead && now - call.triedAt <= PATIENCE_MS);
    for (const call of late) this.giveUp(call, now);
  }

  private giveUp(call: OpenCall, now: number): void {
    if (call.isRead || call.tries >= TRIES) return;
    this.send({ ...call, triedAt: now });
  }

  private send(call: OpenCall): void {
    const { balancer, dataCentre, counts, countedFrom } = this.options;
    const isKept = call.tries === 0 && this.kept !== undefined && !this.isKeptInUse;
    const router =
      isKept && this.kept !== undefined
        ? this.kept
        : balancer.select(dataCentre, this.hash + call.tries);
    if (call.tries === 0 && call.sentAt >= countedFrom) counts.sent += 1;
    call.tries += 1;
    this.open.push(call);
    this.isKeptInUse ||= isKept;
    const { triedAt } = call;
    router.receive({
      arrivedAt: triedAt,
      isWanted: () => !call.isRead && call.triedAt === triedAt && this.open.includes(call),
      onRead: (at, closesConnection) => {
        call.isRead = true;
        if (at - call.sentAt <= OBJECTIVE_MS && call.sentAt >= countedFrom) counts.inTime += 1;
        if (isKept) this.isKeptInUse = false;
        this.kept = closesConnection ? undefined : router;
      },
    });
  }
}
