import { expect } from 'chai';
import { EndpointLoad } from './endpoint-load.ts';
import { PrefixCacheIndex } from './prefix-cache-index.ts';
import { LatencyEstimator } from './latency-estimator.ts';

describe('EndpointLoad', () => {
  it('adds the loads of this router and its peers', () => {
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

  it('expires the load of a peer that stops reporting', () => {
    const load = new EndpointLoad();
    load.applyPeerLoad(
      'p',
      { pending: 2, prefillTokens: 5_000, running: 3, kvCacheTokens: 40_000 },
      0,
    );
    expect(load.totalLoad(5_000).prefillTokens).to.equal(0);
  });

  it('is unhealthy after consecutive failures, until a success or a timeout', () => {
    const load = new EndpointLoad();
    for (let at = 0; at < 3; at += 1) load.recordFailure(at);
    expect(load.isUnhealthy(10)).to.equal(true);
    load.recordSuccess();
    expect(load.isUnhealthy(10)).to.equal(false);
    for (let at = 0; at < 3; at += 1) load.recordFailure(at);
    expect(load.isUnhealthy(10_000)).to.equal(false);
  });

  it('is stalled when its running streams receive nothing', () => {
    const load = new EndpointLoad();
    const request = load.recordSent(100, 100, 0);
    expect(load.isStalled(5_000)).to.equal(false);
    load.recordStarted(request);
    load.recordBytes(4_900);
    expect(load.isStalled(5_000)).to.equal(false);
    expect(load.isStalled(6_500)).to.equal(true);
  });

  it('is not unhealthy because the router has not read for a while', () => {
    const load = new EndpointLoad();
    const request = load.recordSent(100, 100, 0);
    load.recordStarted(request);
    load.recordBytes(4_900);
    expect(load.isUnhealthy(6_500, 5_000)).to.equal(false);
    expect(load.isUnhealthy(6_500, 6_400)).to.equal(true);
  });
});

describe('LatencyEstimator', () => {
  it('learns the time per token and which endpoint is slower', () => {
    const estimator = new LatencyEstimator();
    for (let turn = 0; turn < 200; turn += 1) {
      const tokens = 500 + (turn % 20) * 800;
      estimator.recordFirstEvent('fast', tokens, 40 + tokens * 0.012);
      estimator.recordFirstEvent('slow', tokens, 2 * (40 + tokens * 0.012));
    }
    expect(estimator.estimateFirstEventMs('fast', 10_000)).to.be.within(130, 200);
    expect(estimator.latencyRatio('slow') / estimator.latencyRatio('fast')).to.be.within(1.7, 2.3);
  });
});

describe('PrefixCacheIndex', () => {
  it('counts the tokens from the first uncached segment on', () => {
    const index = new PrefixCacheIndex();
    const segments = [
      { hash: 1, tokens: 500 },
      { hash: 2, tokens: 4_000 },
    ];
    expect(index.uncachedTokens('e', segments)).to.equal(4_500);
    expect(index.recordCached('e', { hash: 1, tokens: 500 })).to.equal(true);
    expect(index.recordCached('e', { hash: 1, tokens: 500 })).to.equal(false);
    expect(index.uncachedTokens('e', segments)).to.equal(4_000);
    index.recordCached('e', { hash: 2, tokens: 4_000 });
    expect(index.uncachedTokens('e', segments)).to.equal(0);
    index.removeEndpoint('e');
    expect(index.uncachedTokens('e', segments)).to.equal(4_500);
  });

  it('evicts the least recently used segments', () => {
    const index = new PrefixCacheIndex();
    for (let hash = 0; hash < 11; hash += 1) index.recordCached('e', { hash, tokens: 100 }, 1_000);
    expect(index.uncachedTokens('e', [{ hash: 0, tokens: 100 }])).to.equal(100);
    expect(index.uncachedTokens('e', [{ hash: 1, tokens: 100 }])).to.equal(0);
    expect(index.uncachedTokens('e', [{ hash: 10, tokens: 100 }])).to.equal(0);
  });
});
