import { expect } from 'chai';
import { ExchangeReplay } from './exchange-replay.ts';
import type { ExchangeResult } from './exchange-replay.ts';

const SEEDS = 6;
/** Bounds on the age of what routers know of each other, in ms. */
const MAX_AGE_MS = { local: 150, remote: 400 };

function replay(overrides: Record<string, number | boolean>): ExchangeResult {
  return new ExchangeReplay({
    routers: 24,
    dataCentres: 4,
    seed: 1,
    loss: 0.05,
    durationMs: 12_000,
    recoveryMs: 6_000,
    hasFailures: true,
    ...overrides,
  }).run();
}

describe('reports between routers', () => {
  it('tell every router the load of the whole fleet again after any failure', () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      expect(replay({ seed }).unconverged, `seed ${seed}`).to.deep.equal([]);
    }
  });

  it('are fresh enough for placement in a large fleet', () => {
    const { localAgeMs, remoteAgeMs } = replay({
      routers: 60,
      loss: 0.01,
      durationMs: 6_000,
      hasFailures: false,
    });
    expect(localAgeMs.p99).to.be.at.most(MAX_AGE_MS.local);
    expect(remoteAgeMs.p99).to.be.at.most(MAX_AGE_MS.remote);
  });

  it('cost no more between data centres if these have four times as many routers', () => {
    const small = replay({ routers: 12, loss: 0, hasFailures: false });
    const large = replay({ routers: 48, loss: 0, hasFailures: false });
    expect(large.remoteBytesPerSecond / small.remoteBytesPerSecond).to.be.lessThan(2.5);
  });

  it('are no more at a router if there are twice as many data centres', () => {
    const small = replay({ routers: 28, dataCentres: 4, loss: 0, hasFailures: false });
    const large = replay({ routers: 56, dataCentres: 8, loss: 0, hasFailures: false });
    const growth = large.datagramsPerRouterSecond / small.datagramsPerRouterSecond;
    expect(growth).to.be.lessThan(1.5);
  });

  it('stay small and few if one data centre has one router', () => {
    const result = replay({ routers: 4, loss: 0, hasFailures: false });
    expect(result.unconverged).to.deep.equal([]);
    expect(result.datagramsPerRouterSecond).to.be.lessThan(40);
  });
});
