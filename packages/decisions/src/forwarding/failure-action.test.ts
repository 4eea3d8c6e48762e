import { expect } from 'chai';
import { Verdict } from '@poplarpick/kernel';
import { FailureAction, decideFailureAction } from './failure-action.ts';
import type { FailedAttempt } from './failure-action.ts';
import { CallKind } from './routing-table.ts';

interface Case {
  kind: CallKind;
  verdict?: Verdict;
  attempts?: number;
  maxAttempts?: number;
  hasResponseBegun?: boolean;
  isResumable?: boolean;
  canGoOn?: boolean;
  remainingMs?: number;
}

function decide(attempt: Case): FailureAction {
  const failed: FailedAttempt = {
    route: {
      name: 'r',
      host: 'h',
      prefix: '/',
      kind: attempt.kind,
      timeoutMs: 1_000,
      objectiveMs: 100,
      pauseMs: 100,
      targets: [],
      maxAttempts: attempt.maxAttempts ?? 2,
      isPublic: false,
      isResumable: attempt.isResumable ?? false,
    },
    verdict: attempt.verdict ?? Verdict.MayHaveRun,
    attempts: attempt.attempts ?? 1,
    hasResponseBegun: attempt.hasResponseBegun ?? false,
    canGoOn: attempt.canGoOn ?? true,
    remainingMs: attempt.remainingMs ?? 1_000,
  };
  return decideFailureAction(failed);
}

describe('action after a failed attempt', () => {
  it('never retries a non-idempotent request that may have run', () => {
    expect(decide({ kind: CallKind.AtMostOnce })).to.equal(FailureAction.Fail);
    expect(decide({ kind: CallKind.Stream })).to.equal(FailureAction.Fail);
  });

  it('retries a request of any kind that has not run', () => {
    const verdict = Verdict.NotRun;
    expect(decide({ kind: CallKind.AtMostOnce, verdict })).to.equal(FailureAction.Retry);
    expect(decide({ kind: CallKind.AtMostOnce, verdict, maxAttempts: 1 })).to.equal(
      FailureAction.Refuse,
    );
  });

  it('retries idempotent requests up to the attempt limit of their route, while time is left', () => {
    expect(decide({ kind: CallKind.Idempotent })).to.equal(FailureAction.Retry);
    expect(decide({ kind: CallKind.Idempotent, attempts: 2 })).to.equal(FailureAction.Fail);
    expect(decide({ kind: CallKind.Idempotent, remainingMs: 5 })).to.equal(FailureAction.Fail);
  });

  it('resumes a stream if its route allows it, and aborts it otherwise', () => {
    const begun = { kind: CallKind.Stream, hasResponseBegun: true };
    expect(decide({ ...begun, isResumable: true })).to.equal(FailureAction.Resume);
    expect(decide(begun)).to.equal(FailureAction.Abort);
    expect(decide({ ...begun, isResumable: true, canGoOn: false })).to.equal(FailureAction.Abort);
    expect(decide({ ...begun, isResumable: true, maxAttempts: 1 })).to.equal(FailureAction.Abort);
  });
});
