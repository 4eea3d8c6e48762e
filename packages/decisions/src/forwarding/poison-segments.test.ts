import { expect } from 'chai';
import fc from 'fast-check';
import { PoisonSegments } from './poison-segments.ts';

const POISON = 1;
const SHARED = 2;
const OTHER = 3;
const SECOND_MS = 1_000;
const FIRST_BLOCK_MS = 30_000;

/** Lets other requests survive, so that engines are known to answer. */
function surviveOthers(segments: PoisonSegments, at: number, count = 10): void {
  for (let index = 0; index < count; index += 1) segments.recordSurvival([OTHER], at);
}

/** Lets a number of engines crash under the segments, one each second. */
function crash(segments: PoisonSegments, suspects: number[], from: number, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const at = from + index * SECOND_MS;
    segments.recordCrash(from + index, suspects, at, at);
    surviveOthers(segments, at + 1);
  }
}

function isBlocked(segments: PoisonSegments, segment: number, now: number): boolean {
  return segments.findBlocked([segment], now) !== undefined;
}

describe('the detection of poison segments', () => {
  it('blocks a segment that no request has survived since several crashes', () => {
    const segments = new PoisonSegments();
    crash(segments, [POISON], 1_000, 2);
    expect(isBlocked(segments, POISON, 3_000)).to.equal(false);
    crash(segments, [POISON], 3_000, 1);
    expect(isBlocked(segments, POISON, 3_000)).to.equal(true);
  });

  it('does not block a segment that others have survived between the crashes', () => {
    const segments = new PoisonSegments();
    for (let turn = 0; turn < 20; turn += 1) {
      crash(segments, [POISON, SHARED], turn * SECOND_MS, 1);
      segments.recordSurvival([SHARED], turn * SECOND_MS + 500);
    }
    expect(isBlocked(segments, SHARED, 20_000)).to.equal(false);
    expect(isBlocked(segments, POISON, 20_000)).to.equal(true);
  });

  it('does not count engines that fail together as several crashes', () => {
    const segments = new PoisonSegments();
    for (let engine = 0; engine < 30; engine += 1) {
      segments.recordCrash(engine, [SHARED], 1_000 + engine * 5, 1_200);
      surviveOthers(segments, 1_200);
    }
    expect(isBlocked(segments, SHARED, 1_200)).to.equal(false);
  });

  it('does not count the crash of one engine several times', () => {
    const segments = new PoisonSegments();
    for (let turn = 0; turn < 10; turn += 1) {
      segments.recordCrash(7, [SHARED], turn * SECOND_MS, turn * SECOND_MS);
      surviveOthers(segments, turn * SECOND_MS);
    }
    expect(isBlocked(segments, SHARED, 10_000)).to.equal(false);
  });

  it('blocks nothing while no request survives', () => {
    const segments = new PoisonSegments();
    for (let engine = 0; engine < 20; engine += 1) {
      segments.recordCrash(engine, [POISON, SHARED], engine * SECOND_MS, engine * SECOND_MS);
    }
    expect(segments.listBlocked(20_000)).to.deep.equal([]);
  });

  it('releases a segment at once that a request has survived', () => {
    const segments = new PoisonSegments();
    crash(segments, [SHARED], 1_000, 3);
    expect(isBlocked(segments, SHARED, 4_000)).to.equal(true);
    expect(segments.recordSurvival([SHARED], 2_500)).to.deep.equal([SHARED]);
    expect(isBlocked(segments, SHARED, 4_000)).to.equal(false);
    expect(segments.recordSurvival([SHARED], 4_000)).to.deep.equal([SHARED]);
    expect(segments.recordSurvival([SHARED], 4_001)).to.deep.equal([]);
  });

  it('releases a segment after a while, and blocks it for longer after one more crash', () => {
    const segments = new PoisonSegments();
    crash(segments, [POISON], 0, 3);
    const [first] = segments.listBlocked(3_000);
    if (first === undefined) throw new Error('nothing is blocked');
    expect(isBlocked(segments, POISON, first.releasedAt)).to.equal(false);
    crash(segments, [POISON], first.releasedAt + 1, 1);
    const [second] = segments.listBlocked(first.releasedAt + 2);
    if (second === undefined) throw new Error('nothing is blocked again');
    const firstMs = first.releasedAt - first.blockedAt;
    expect(second.releasedAt - second.blockedAt).to.equal(2 * firstMs);
  });

  it('lets one request at a time through after a release, until one has survived', () => {
    const segments = new PoisonSegments({ releaseDelayMs: 5_000 });
    crash(segments, [POISON], 0, 3);
    const [block] = segments.listBlocked(3_000);
    if (block === undefined) throw new Error('nothing is blocked');
    const releasedAt = block.releasedAt + 5_000;
    expect(isBlocked(segments, POISON, releasedAt - 1)).to.equal(true);
    expect(isBlocked(segments, POISON, releasedAt)).to.equal(false);
    segments.recordAdmitted([POISON], releasedAt);
    expect(isBlocked(segments, POISON, releasedAt + 1)).to.equal(true);
    expect(segments.recordSurvival([POISON], releasedAt + 2)).to.deep.equal([POISON]);
    expect(isBlocked(segments, POISON, releasedAt + 3)).to.equal(false);
  });

  it('takes a block from a peer, but not one that a survival has ended', () => {
    const segments = new PoisonSegments();
    const block = { segment: POISON, blockedAt: 1_000, releasedAt: 60_000 };
    expect(segments.applyBlock(block, 1_100)).to.equal(true);
    expect(segments.applyBlock(block, 1_200)).to.equal(false);
    expect(isBlocked(segments, POISON, 1_200)).to.equal(true);
    segments.recordSurvival([POISON], 2_000);
    expect(segments.applyBlock(block, 2_100)).to.equal(false);
    expect(isBlocked(segments, POISON, 2_100)).to.equal(false);
  });

  it('never lengthens a block that two routers report to each other', () => {
    const routers = [new PoisonSegments(), new PoisonSegments()] as const;
    crash(routers[0], [POISON], 0, 3);
    for (let now = 3_000; now < 200_000; now += 100) {
      const delayMs = 30;
      for (const [from, to] of [routers, [...routers].reverse()] as [
        PoisonSegments,
        PoisonSegments,
      ][]) {
        for (const { segment, blockedAt, releasedAt } of from.listBlocked(now)) {
          const late = {
            segment,
            blockedAt: blockedAt + delayMs,
            releasedAt: releasedAt + delayMs,
          };
          to.applyBlock(late, now + delayMs);
        }
      }
    }
    expect(routers.flatMap((router) => router.listBlocked(70_000))).to.deep.equal([]);
  });

  it('blocks poison and no segment that survives, in any order of crashes and survivals', () => {
    const event = fc.record({
      gapMs: fc.integer({ min: 300, max: 3_000 }),
      poisons: fc.boolean(),
      companions: fc.subarray([10, 11, 12, 13]),
    });
    fc.assert(
      fc.property(fc.array(event, { minLength: 12, maxLength: 40 }), (events) => {
        const segments = new PoisonSegments();
        let now = 0;
        const crashedAt: number[] = [];
        events.forEach(({ gapMs, poisons, companions }, index) => {
          now += gapMs;
          const suspects = poisons ? [POISON, ...companions] : companions;
          segments.recordCrash(index, suspects, now, now);
          for (const companion of companions) segments.recordSurvival([companion], now + 100);
          surviveOthers(segments, now + 100);
          if (poisons) crashedAt.push(now);
          const [, , thirdCrashAt = Number.POSITIVE_INFINITY] = crashedAt;
          // All crashes count within the first minute. Each one after a release blocks the segment again.
          const isWithinBlock = now < thirdCrashAt + FIRST_BLOCK_MS;
          if (now >= thirdCrashAt && now < 60_000 && (poisons || isWithinBlock))
            expect(isBlocked(segments, POISON, now)).to.equal(true);
          for (const companion of [10, 11, 12, 13])
            expect(isBlocked(segments, companion, now)).to.equal(false);
        });
      }),
      { seed: 29, numRuns: 300 },
    );
  });
});
