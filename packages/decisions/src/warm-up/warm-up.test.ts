import { expect } from 'chai';
import fc from 'fast-check';
import { WarmUp } from './warm-up.ts';
import { warmUpGapMs } from './warm-up-share.ts';

const PER_SECOND = 10;
const NUM_RUNS = 60;
const STEP_MS = 5;
const DURATION_MS = 3_000;
const WINDOW_MS = 1_000;

function addresses(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.0.0.${index}:7000`);
}

describe('the warm-up of an endpoint', () => {
  it('ends at the announced time, and a repeated statement does not extend it', () => {
    const warmUp = new WarmUp();
    warmUp.recordAnnounced(3_000, 0);
    warmUp.recordAnnounced(3_000, 2_000);
    expect(warmUp.isCold(2_999)).to.equal(true);
    expect(warmUp.isCold(3_000)).to.equal(false);
  });

  it('ends early when the entry says that the endpoint is warm', () => {
    const warmUp = new WarmUp();
    warmUp.recordAnnounced(3_000, 0);
    warmUp.recordAnnounced(0, 1_000);
    expect(warmUp.isCold(1_000)).to.equal(false);
  });

  it('lasts through the caution after a return although the entry says that the endpoint is warm', () => {
    const warmUp = new WarmUp();
    warmUp.recordCaution(2_000, 0);
    warmUp.recordAnnounced(3_000, 100);
    warmUp.recordAnnounced(0, 200);
    expect(warmUp.isCold(1_999)).to.equal(true);
    expect(warmUp.isCold(2_000)).to.equal(false);
  });

  it('bounds an absurd statement', () => {
    const warmUp = new WarmUp();
    warmUp.recordAnnounced(1e12, 0);
    expect(warmUp.isCold(60_000)).to.equal(false);
  });
});

describe('the requests of a fleet to a cold endpoint', () => {
  for (const size of [1, 5, 28, 68]) {
    it(`stay within the rate and one for each sharing router, with ${size} greedy routers`, () => {
      fc.assert(
        fc.property(fc.string(), fc.double({ min: 0.5, max: 40, noNaN: true }), (id, perSecond) => {
          const sent = sendGreedily(addresses(size), id, perSecond);
          expect(mostPerWindow(sent)).to.be.at.most(perSecond + 4);
        }),
        { seed: 11, numRuns: NUM_RUNS },
      );
    });
  }

  it('stay within one and a half times the rate and 5 while one router knows only half of the others', () => {
    fc.assert(
      fc.property(fc.string(), fc.nat(27), (id, index) => {
        const routers = addresses(28);
        const sent = sendGreedily(routers, id, PER_SECOND, (router) =>
          router === routers[index] ? [router, ...routers.slice(0, 14)] : routers,
        );
        expect(mostPerWindow(sent)).to.be.at.most(PER_SECOND * 1.5 + 5);
      }),
      { seed: 12, numRuns: NUM_RUNS },
    );
  });

  it('are none from a pool whose cold endpoints bear none', () => {
    const [router = ''] = addresses(1);
    const gap = warmUpGapMs({ incarnation: 'e', perSecond: 0, router, routers: [router] });
    expect(gap).to.equal(undefined);
  });
});

/** Times at which routers that always have a request for the endpoint send one. */
function sendGreedily(
  routers: readonly string[],
  incarnation: string,
  perSecond: number,
  knownTo: (router: string) => readonly string[] = () => routers,
): number[] {
  const sent: number[] = [];
  const warmUps = routers.map((router) => {
    const warmUp = new WarmUp();
    warmUp.recordAnnounced(DURATION_MS, 0);
    const share = { incarnation, perSecond, router, routers: knownTo(router) };
    return { warmUp, gapMs: warmUpGapMs(share) };
  });
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    for (const { warmUp, gapMs } of warmUps) {
      if (!warmUp.takesRequest(gapMs, now)) continue;
      warmUp.recordSent(now);
      sent.push(now);
    }
  }
  return sent;
}

/** Most requests in any window of a second. */
function mostPerWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map(
      (start) => times.filter((time) => time >= start && time < start + WINDOW_MS).length,
    ),
  );
}
