import { expect } from 'chai';
import { planTransfer, selectSources } from './prompt-transfer.ts';
import type { TransferRequest } from './prompt-transfer.ts';

const NEAR = { id: 'near', dataCentre: 'a', uncachedTokens: 0 };
const FAR = { id: 'far', dataCentre: 'b', uncachedTokens: 0 };
const FAST = { bytesPerToken: 20_000, bytesPerMs: 35_000_000 };

function request(overrides: Partial<TransferRequest<typeof NEAR>>): TransferRequest<typeof NEAR> {
  return {
    target: { dataCentre: 'a', uncachedTokens: 5_000 },
    sources: [FAR, NEAR],
    transfer: FAST,
    prefillMsPerToken: 0.02,
    ...overrides,
  };
}

describe('the transfer of a cached prompt', () => {
  it('comes from the endpoint that saves most time, which is in the same data centre if there is one', () => {
    const plan = planTransfer(request({}));
    expect(plan).to.include({ source: NEAR, tokens: 5_000 });
    expect(plan?.durationMs).to.be.lessThan(20);
    expect(planTransfer(request({ sources: [FAR] }))?.source).to.equal(FAR);
  });

  it('prefers a source with more of the prompt', () => {
    const partial = { ...NEAR, uncachedTokens: 4_000 };
    const plan = planTransfer(request({ sources: [partial, FAR] }));
    expect(plan).to.include({ source: FAR, tokens: 5_000 });
  });

  it('is not made over a link that takes about as long as a prefill', () => {
    const slow = { ...FAST, bytesPerMs: 1_500_000 };
    expect(planTransfer(request({ transfer: slow }))).to.equal(undefined);
  });

  it('is not made from an endpoint of another version', () => {
    const target = { dataCentre: 'a', version: 'v2', uncachedTokens: 5_000 };
    const old = { ...NEAR, version: 'v1' };
    expect(planTransfer(request({ target, sources: [old] }))).to.equal(undefined);
    const sources = selectSources([old, { ...NEAR, version: 'v2', uncachedTokens: 500 }]);
    expect(planTransfer(request({ target, sources }))?.tokens).to.equal(4_500);
  });

  it('is not made for a few tokens, or from an endpoint that lacks them too', () => {
    const target = { dataCentre: 'a', uncachedTokens: 100 };
    expect(planTransfer(request({ target }))).to.equal(undefined);
    const sources = [{ ...NEAR, uncachedTokens: 5_000 }];
    expect(planTransfer(request({ sources }))).to.equal(undefined);
  });
});
