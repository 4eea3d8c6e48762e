import { expect } from 'chai';
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss, LossAction } from './lost-attempt.ts';
import {
  classifyMissingAttempt,
  createRequestState,
  grantAttempt,
  MAX_TRUSTED_GRANT_AGE_MS,
  combineVerdicts,
  settleLostAttempt,
  computeUnfinishedVerdict,
} from './request-state.ts';

const sidecar = { host: 'sidecar', incarnation: 'first' };

describe('RequestState', () => {
  it('remembers that an earlier attempt may have run', () => {
    const granted = grantAttempt(createRequestState(true), sidecar);
    const { state, decision } = settleLostAttempt(granted, AttemptLoss.SidecarGone);
    expect(decision.action).to.equal(LossAction.Requeue);
    expect(computeUnfinishedVerdict(state)).to.equal(Verdict.MayHaveRun);
    expect(combineVerdicts(grantAttempt(state, sidecar), Verdict.NotRun)).to.equal(
      Verdict.MayHaveRun,
    );
  });

  it('reports not-run after attempts that cannot have run', () => {
    const granted = grantAttempt(createRequestState(false), sidecar);
    const { state } = settleLostAttempt(granted, AttemptLoss.NeverStarted);
    expect(computeUnfinishedVerdict(state)).to.equal(Verdict.NotRun);
  });

  it('does not trust a sidecar that may have discarded the attempt', () => {
    const granted = grantAttempt(createRequestState(false), sidecar);
    const loss = (grantAgeMs: number, expired: boolean) =>
      classifyMissingAttempt(granted, { sender: sidecar, grantAgeMs, expired });
    expect(loss(10, false)).to.equal(AttemptLoss.NeverStarted);
    expect(loss(MAX_TRUSTED_GRANT_AGE_MS, false)).to.equal(AttemptLoss.SidecarGone);
    expect(loss(10, true)).to.equal(AttemptLoss.SidecarGone);
  });
});
