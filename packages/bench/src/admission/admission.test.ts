import { expect } from 'chai';
import { Random } from '@poplarpick/load';
import { compareAdmission } from './app.ts';
import { EngineModel } from './engine-model.ts';

/** The target: credit of the routers' policy relative to the upper bound for any schedule. */
const MIN_SHARE_OF_BOUND = 0.9;

const OVERLOAD = { seconds: 20, load: 1, engines: 6, tokensPerEngine: 60_000, routers: 5 };

describe('replay of placement and admission', () => {
  for (const seed of [1, 2]) {
    it(`earns nine tenths of the upper bound under overload, seed ${seed}`, () => {
      const { rows, limit } = compareAdmission({ ...OVERLOAD, seed });
      const [least, affinity, routers] = rows;
      expect(limit).to.be.within(0.5, 1);
      expect(routers?.ofLimit).to.be.greaterThan(MIN_SHARE_OF_BOUND);
      expect(routers?.credit).to.be.greaterThan(affinity?.credit ?? 1);
      expect(routers?.credit).to.be.greaterThan(least?.credit ?? 1);
    });
  }

  it("keeps the credit where callers' deadlines differ", () => {
    const [, , routers] = compareAdmission({ ...OVERLOAD, seed: 1, deadlineSpread: 0.3 }).rows;
    expect(routers?.ofLimit).to.be.greaterThan(MIN_SHARE_OF_BOUND);
  });

  it('gives the same result for the same seed', () => {
    const run = { ...OVERLOAD, seconds: 6, seed: 4 };
    expect(compareAdmission(run)).to.deep.equal(compareAdmission(run));
  });

  it('has engines that prefill a shared prefix once and generate in a batch', () => {
    const engine = new EngineModel({
      slots: 2,
      baseStepMs: 1,
      stepMsPerRequest: 1,
      prefillTokensPerMs: 10,
      maxPrefillChunkTokens: 100,
      kvCacheTokens: 1_000,
    });
    const random = new Random(1);
    for (let id = 0; id < 2; id += 1) {
      const own = { id: `own/${random.uniform()}`, tokens: 10 };
      const segments = [{ id: 'shared', tokens: 50 }, own];
      engine.submit(
        id,
        { model: 'm', segments, inputTokens: 60, maxOutputTokens: 2, outputTokens: 2 },
        0,
      );
    }
    let ended = 0;
    while (engine.nextStepEndsAt < Number.POSITIVE_INFINITY) {
      ended += engine.completeStep(engine.nextStepEndsAt).ended.length;
    }
    expect(ended).to.equal(2);
    expect(engine.prefilled).to.deep.equal({ tokens: 70, sharedTokens: 50 });
  });
});
