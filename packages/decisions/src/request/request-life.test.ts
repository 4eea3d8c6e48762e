import { expect } from 'chai';
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss, LossAction } from './lost-attempt.ts';
import {
  classifyMissing,
  createLife,
  grantAttempt,
  GRANT_MEMORY_MS,
  joinVerdict,
  settleAttempt,
  verdictOfUnfinished,
} from './request-life.ts';

const holder = { host: 'sidecar', incarnation: 'first' };

describe('RequestLife', () => {
  it('remembers that an earlier attempt may have run', () => {
    const granted = grantAttempt(createLife(true), holder);
    const { life, decision } = settleAttempt(granted, AttemptLoss.SidecarGone);
    expect(decision.action).to.equal(LossAction.Requeue);
    expect(verdictOfUnfinished(life)).to.equal(Verdict.MayHaveRun);
    expect(joinVerdict(grantAttempt(life, holder), Verdict.NotRun)).to.equal(Verdict.MayHaveRun);
  });

  it('says not-run after attempts that cannot have run', () => {
    const granted = grantAttempt(createLife(false), holder);
    const { life } = settleAttempt(granted, AttemptLoss.NeverStarted);
    expect(verdictOfUnfinished(life)).to.equal(Verdict.NotRun);
  });

  it('does not trust a sidecar that may have forgotten the attempt', () => {
    const granted = grantAttempt(createLife(false), holder);
    const loss = (grantAgeMs: number, expired: boolean) =>
      classifyMissing(granted, { sender: holder, grantAgeMs, expired });
    expect(loss(10, false)).to.equal(AttemptLoss.NeverStarted);
    expect(loss(GRANT_MEMORY_MS, false)).to.equal(AttemptLoss.SidecarGone);
    expect(loss(10, true)).to.equal(AttemptLoss.SidecarGone);
  });
});
