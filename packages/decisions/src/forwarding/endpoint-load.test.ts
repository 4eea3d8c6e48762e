import { expect } from 'chai';
import { EndpointLoad } from './endpoint-load.ts';
import { PrefixCacheIndex } from './prefix-cache-index.ts';
import { LatencyEstimator } from './latency-estimator.ts';

describe('load of an endpoint', () => {
  it('adds up what this router and its peers have there', () => {
    const load = new EndpointLoad();
    const request = load.recordSent(3_000, 4_000, 0);
    load.applyPeerLoad(
      'p',
      { pending: 2, prefillTokens: 5_000, running: 3, kvCacheTokens: 40_000 },
      0,
    );
    expect(load.totalLoad(100)).to.deep.equal({
      pending: 3,
      prefillTokens: 8_000,
      running: 3,
      kvCacheTokens: 44_000,
    });
    load.recordStarted(request);
    expect(load.totalLoad(100).prefillTokens).to.equal(5_000);
    load.recordEnded(request);
    expect(load.totalLoad(100).running).to.equal(3);
  });

  it('forgets a peer that fell silent', () => {
    const load = new EndpointLoad();
    load.applyPeerLoad(
      'p',
      { pending: 2, prefillTokens: 5_000, running: 3, kvCacheTokens: 40_000 },
      0,
    );
    expect(load.totalLoad(5_000).prefillTokens).to.equal(0);
  });

  it('counts as broken after failures in a row, until it succeeds or time has passed', () => {
    const load = new EndpointLoad();
    for (let at = 0; at < 3; at += 1) load.recordFailure(at);
    expect(load.isUnhealthy(10)).to.equal(true);
    load.recordSuccess();
    expect(load.isUnhealthy(10)).to.equal(false);
    for (let at = 0; at < 3; at += 1) load.recordFailure(at);
    expect(load.isUnhealthy(10_000)).to.equal(false);
  });

  it('counts as silent when its running streams bring nothing', () => {
    const load = new EndpointLoad();
    const request = load.recordSent(100, 100, 0);
    expect(load.isStalled(5_000)).to.equal(false);
    load.recordStarted(request);
    load.recordBytes(4_900);
    expect(load.isStalled(5_000)).to.equal(false);
    expect(load.isStalled(6_500)).to.equal(true);
  });
});

describe('speed of a pool', () => {
  it('learns the time for a token and which endpoint is slower', () => {
    const speed = new LatencyEstimator();
    for (let turn = 0; turn < 200; turn += 1) {
      const tokens = 500 + (turn % 20) * 800;
      speed.recordFirstEvent('fast', tokens, 40 + tokens * 0.012);
      speed.recordFirstEvent('slow', tokens, 2 * (40 + tokens * 0.012));
    }
    expect(speed.estimateFirstEventMs('fast', 10_000)).to.be.within(130, 200);
    expect(speed.latencyRatio('slow') / speed.latencyRatio('fast')).to.be.within(1.7, 2.3);
  });
});

describe('memory of prompt parts', () => {
  it('knows what an endpoint keeps, up to the first part that it lacks', () => {
    const memory = new PrefixCacheIndex();
    const parts = [
      { hash: 1, tokens: 500 },
      { hash: 2, tokens: 4_000 },
    ];
    expect(memory.uncachedTokens('e', parts)).to.equal(4_500);
    expect(memory.recordCached('e', { hash: 1, tokens: 500 })).to.equal(true);
    expect(memory.recordCached('e', { hash: 1, tokens: 500 })).to.equal(false);
    expect(memory.uncachedTokens('e', parts)).to.equal(4_000);
    memory.recordCached('e', { hash: 2, tokens: 4_000 });
    expect(memory.uncachedTokens('e', parts)).to.equal(0);
    memory.removeEndpoint('e');
    expect(memory.uncachedTokens('e', parts)).to.equal(4_500);
  });

  it('drops the parts that were used least recently', () => {
    const memory = new PrefixCacheIndex();
    for (let hash = 0; hash < 11; hash += 1) memory.recordCached('e', { hash, tokens: 100 }, 1_000);
    expect(memory.uncachedTokens('e', [{ hash: 0, tokens: 100 }])).to.equal(100);
    expect(memory.uncachedTokens('e', [{ hash: 1, tokens: 100 }])).to.equal(0);
    expect(memory.uncachedTokens('e', [{ hash: 10, tokens: 100 }])).to.equal(0);
  });
});
