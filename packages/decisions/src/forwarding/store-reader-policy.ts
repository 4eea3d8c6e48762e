/**
 * Decides whether a router reads the store itself or follows another router of its data centre that does.
 * The store can serve only so many calls, and what routers ask of it shouldn't grow with their number.
 *
 * The routers of a data centre rank themselves by rendezvous hashing. The first one reads the store, the
 * others ask it for its state several times a second. No message is needed to take over: a router whose state
 * gets older than a working reader would let it become reads the store itself until a router that ranks
 * higher reads it again. Lower ranks wait a little longer, so that they find the one before them reading
 * instead of all turning to the store at once.
 *
 * Only a router that reads the store successfully is followed. One that the store turns away may still have
 * fresh state, but from others, and those could be its own followers.
 *
 * Where a data centre has few routers, each reads the store, which is quicker and hardly costs more. So does
 * each where keys must be confirmed more often than a follower can be sure of.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';
import { RecentFailures } from './recent-failures.ts';

/** Least number of routers in a data centre of which some follow. */
const MIN_ROUTERS_TO_FOLLOW = 4;

/** Least bound on the age of the state, in ms, that leaves time for a takeover by any rank. */
const MIN_BOUND_TO_FOLLOW_MS = 3_000;

/**
 * Age of the state at which a follower of the highest rank takes over, in ms: more than the time between two
 * confirmations by the store and the time between two requests to the reader together.
 */
const TAKEOVER_AGE_MS = 1_800;

/** Further age for each lower rank, in ms, in which the one before reads the store. */
const TAKEOVER_STEP_MS = 100;

/** Most lower ranks that wait longer, so that the state never gets too old to serve. */
const MAX_TAKEOVER_STEPS = 5;

/** Time that the first reader has on the first start of the whole system before others take over, in ms. */
const FIRST_READ_MS = 1_000;

/** Longest time since a successful read of the store, in ms, for which a router is followed. */
const MAX_READ_AGE_MS = 1_700;

/** Options of a `StoreReaderPolicy`. */
export interface StoreReaderPolicyOptions {
  /** `IP:port` of this router, by which its peers know it. */
  address: string;
  dataCentre: string;
  /** Age of the state above which a router serves no request with a key, in ms. */
  maxStateAgeMs: number;
  /**
   * Monotonic time in ms before which a router doesn't read the store, since the whole system starts for the
   * first time and it may not know its peers yet; undefined otherwise.
   */
  firstReadAt?: number | undefined;
}

/** A live router of the same data centre. */
export interface NearbyRouter {
  address: string;
  /** Time since it last read the store successfully, in ms; undefined if it doesn't tell. */
  readAgeMs: number | undefined;
}

/** How a router gets the state of the store. */
export interface StoreAccess {
  isReader: boolean;
  /** The router of the same data centre to ask; undefined if there is none. */
  source: string | undefined;
}

/** Decides the access of one router. */
export class StoreReaderPolicy {
  private readonly options: StoreReaderPolicyOptions;
  /** This router reads the store until another one can be followed. */
  private isReading = false;
  private readonly failures = new RecentFailures();

  constructor(options: StoreReaderPolicyOptions) {
    this.options = options;
  }

  /** True if this router reads the store, by its rank or in the place of a higher one. */
  get isReader(): boolean {
    return this.isReading;
  }

  /** Decides how to get the state, from the live routers nearby and the age of the state in ms. */
  decide(nearby: readonly NearbyRouter[], stateAgeMs: number, now: number): StoreAccess {
    const higher = this.rankHigher(nearby);
    const source = this.selectSource(higher, now);
    const isFirst = higher.length === 0;
    const mayRead = now >= (this.options.firstReadAt ?? now);
    const isDue = stateAgeMs >= takeoverAgeMs(higher.length) && now >= this.takeoverFrom();
    if (mayRead && (isFirst || isDue)) this.isReading = true;
    return { isReader: this.isReading, source };
  }

  /** Records the answer of a source that has read the store successfully `readAgeMs` before. */
  recordAnswer(source: string, readAgeMs: number, now: number): void {
    if (readAgeMs > MAX_READ_AGE_MS) {
      this.recordFailure(source, now);
      return;
    }
    this.isReading = false;
    this.failures.clear(source);
  }

  /** Records that a source didn't answer. */
  recordFailure(source: string, now: number): void {
    this.failures.record(source, now);
  }

  /** The routers that rank before this one, the first one first; none if this one doesn't follow. */
  private rankHigher(nearby: readonly NearbyRouter[]): NearbyRouter[] {
    const { address, dataCentre, maxStateAgeMs } = this.options;
    if (nearby.length + 1 < MIN_ROUTERS_TO_FOLLOW) return [];
    if (maxStateAgeMs < MIN_BOUND_TO_FOLLOW_MS) return [];
    const byAddress = new Map(nearby.map((router) => [router.address, router]));
    const ranked = rankByRendezvous(`store ${dataCentre}`, [address, ...byAddress.keys()]);
    return ranked
      .slice(0, ranked.indexOf(address))
      .flatMap((higher) => byAddress.get(higher) ?? []);
  }

  private selectSource(higher: readonly NearbyRouter[], now: number): string | undefined {
    const source = higher.find(
      ({ address, readAgeMs }) =>
        readAgeMs !== undefined && readAgeMs <= MAX_READ_AGE_MS && !this.failures.has(address, now),
    );
    return source?.address;
  }

  private takeoverFrom(): number {
    const { firstReadAt } = this.options;
    return firstReadAt === undefined ? Number.NEGATIVE_INFINITY : firstReadAt + FIRST_READ_MS;
  }
}

function takeoverAgeMs(rank: number): number {
  return TAKEOVER_AGE_MS + TAKEOVER_STEP_MS * Math.min(MAX_TAKEOVER_STEPS, Math.max(0, rank - 1));
}
