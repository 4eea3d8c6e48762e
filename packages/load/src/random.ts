/** Seeded random numbers and the distributions that arrivals and costs are drawn from. */
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

  /** Uniform whole number in [0, limit). */
  integer(limit: number): number {
    return Math.floor(this.source() * limit);
  }

  /** One of the items. Throws where there are none. */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.integer(items.length)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }

  /** Time to the next arrival at a mean rate per second, in milliseconds. */
  interarrivalMs(perSecond: number): number {
    return randomExponential.source(this.source)(perSecond / 1_000)();
  }

  /** Heavy-tailed whole number from `least` up to `most`. */
  boundedPareto(least: number, most: number, alpha = 1.3): number {
    return Math.min(most, Math.round(least * randomPareto.source(this.source)(alpha)()));
  }
}
