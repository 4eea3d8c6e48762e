import { expect } from 'chai';
import fc from 'fast-check';
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss, decideLostAttempt, LossAction } from './lost-attempt.ts';

const losses = fc.record({
  loss: fc.constantFrom(...Object.values(AttemptLoss)),
  repeatable: fc.boolean(),
  delivered: fc.boolean(),
  attempts: fc.integer({ min: 1, max: 5 }),
  maxAttempts: fc.constant(3),
  mayHaveRunBefore: fc.boolean(),
  retryAllowed: fc.boolean(),
});

describe('decideLostAttempt', () => {
  it('never requeues a request that must run once and may have run', () => {
    fc.assert(
      fc.property(losses, (lost) => {
        const decision = decideLostAttempt(lost);
        if (lost.repeatable || decision.verdict === Verdict.NotRun) return;
        expect(decision.action).to.equal(LossAction.Fail);
      }),
    );
  });

  it('reports not-run only if no attempt can have run', () => {
    fc.assert(
      fc.property(losses, (lost) => {
        if (decideLostAttempt(lost).verdict !== Verdict.NotRun) return;
        expect(lost.loss).to.equal(AttemptLoss.NeverStarted);
        expect(lost.mayHaveRunBefore).to.equal(false);
      }),
    );
  });

  it('stops at the limit of attempts', () => {
    const decision = decideLostAttempt({
      loss: AttemptLoss.NeverStarted,
      repeatable: true,
      delivered: false,
      attempts: 3,
      maxAttempts: 3,
      mayHaveRunBefore: false,
      retryAllowed: true,
    });
    expect(decision.action).to.equal(LossAction.Fail);
  });
});
