/** Seeded random number generator and the distributions used for arrivals and answer lengths. */
import { randomExponential, randomPareto } from 'd3-random';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of random numbers. */
export class Random {
  private readonly source: () => number;

  constructor(seed: number) {
    const generator = xoroshiro128plus(seed);
    this.source = () => uniformFloat64(generator);
  }

  /** Uniform in [0, 1). */
  uniform(): number {
    return this.source();
  }

  /** Uniform integer in [0, limit). */
  integer(limit: number): number {
    return Math.floor(this.source() * limit);
  }

  /** Picks one of the items uniformly. Throws if there are none. */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.integer(items.length)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }

  /** Exponentially distributed time to the next arrival in milliseconds, at a mean rate per second. */
  interarrivalMs(perSecond: number): number {
    return randomExponential.source(this.source)(perSecond / 1_000)();
  }

  /** Pareto-distributed integer from `least`, capped at `most`; a smaller `alpha` has a heavier tail. */
  boundedPareto(least: number, most: number, alpha = 1.3): number {
    return Math.min(most, Math.round(least * randomPareto.source(this.source)(alpha)()));
  }
}
