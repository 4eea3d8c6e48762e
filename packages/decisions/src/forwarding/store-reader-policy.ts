/**
 * Decides whether a router reads the store itself or follows another router of its data centre that does.
 * The store can serve only so many calls, and what routers ask of it shouldn't grow with their number.
 *
 * The routers of a data centre rank themselves by rendezvous hashing. The first one reads the store, the
 * others ask it for its state several times a second. No message is needed to take over: a router whose state
 * gets older than a working reader would let it become reads the store itself until a router that ranks
 * higher helps again. Lower ranks wait a little longer, so that they find the one before them reading instead
 * of all turning to the store at once.
 *
 * Where a data centre has few routers, each reads the store, which is quicker and hardly costs more. So does
 * each where keys must be confirmed more often than a follower can be sure of.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Least number of routers in a data centre of which some follow. */
const MIN_ROUTERS_TO_FOLLOW = 4;

/**
 * Age of the state at which a follower of the highest rank takes over, in ms: more than the time between two
 * confirmations by the store and the time between two requests to the reader together.
 */
const TAKEOVER_AGE_MS = 1_800;

/** Least bound on the age of the state, in ms, that leaves time for a takeover by any rank. */
const MIN_BOUND_TO_FOLLOW_MS = 3_000;

/** Further age for each lower rank, in ms, in which the one before reads the store. */
const TAKEOVER_STEP_MS = 100;

/** Most lower ranks that wait longer, so that the state never gets too old to serve. */
const MAX_TAKEOVER_STEPS = 5;

/** Largest age at which the state of another router helps, in ms. */
const MAX_HELPFUL_AGE_MS = 1_500;

/** Time for which a router that didn't help is asked only if there is no other, in ms. */
const UNHELPFUL_MS = 1_500;

/** Options of a `StoreReaderPolicy`. */
export interface StoreReaderPolicyOptions {
  /** `IP:port` of this router, by which its peers know it. */
  address: string;
  dataCentre: string;
  /** Age of the state above which a router serves no request with a key, in ms. */
  maxStateAgeMs: number;
  /**
   * Monotonic time before which a router doesn't read the store, in ms, since it may not know its peers yet.
   */
  readsFrom: number;
}

/** How a router gets the state of the store. */
export interface StoreAccess {
  isReader: boolean;
  /** The router of the same data centre to ask; undefined for the one that all others ask. */
  source: string | undefined;
}

/** Decides the access of one router. */
export class StoreReaderPolicy {
  private readonly options: StoreReaderPolicyOptions;
  /** This router reads the store until another one helps. */
  private isReading = false;
  private readonly unhelpfulUntil = new Map<string, number>();

  constructor(options: StoreReaderPolicyOptions) {
    this.options = options;
  }

  /** True if this router reads the store, by its rank or in the place of a higher one. */
  get isReader(): boolean {
    return this.isReading;
  }

  /** Decides how to get the state, from the addresses of the live routers nearby and the age of the state. */
  decide(nearby: readonly string[], stateAgeMs: number, now: number): StoreAccess {
    const { address, dataCentre, maxStateAgeMs, readsFrom } = this.options;
    const ranked = rankByRendezvous(`store ${dataCentre}`, [address, ...nearby]);
    const higher = ranked.slice(0, ranked.indexOf(address));
    const canFollow =
      ranked.length >= MIN_ROUTERS_TO_FOLLOW && maxStateAgeMs >= MIN_BOUND_TO_FOLLOW_MS;
    const source = canFollow ? this.selectSource(higher, now) : undefined;
    if (now < readsFrom) return { isReader: false, source };
    if (source === undefined) this.isReading = true;
    if (stateAgeMs >= takeoverAgeMs(higher.length)) this.isReading = true;
    return { isReader: this.isReading, source };
  }

  /** Records the answer of a source, whose state was `ageMs` old when it was asked. */
  recordAnswer(source: string, ageMs: number, now: number): void {
    if (ageMs > MAX_HELPFUL_AGE_MS) {
      this.recordFailure(source, now);
      return;
    }
    this.isReading = false;
    this.unhelpfulUntil.delete(source);
  }

  /** Records that a source didn't answer. */
  recordFailure(source: string, now: number): void {
    this.unhelpfulUntil.set(source, now + UNHELPFUL_MS);
  }

  private selectSource(higher: readonly string[], now: number): string | undefined {
    for (const [address, until] of this.unhelpfulUntil) {
      if (now >= until) this.unhelpfulUntil.delete(address);
    }
    return higher.find((address) => !this.unhelpfulUntil.has(address)) ?? higher[0];
  }
}

function takeoverAgeMs(rank: number): number {
  return TAKEOVER_AGE_MS + TAKEOVER_STEP_MS * Math.min(MAX_TAKEOVER_STEPS, Math.max(0, rank - 1));
}
