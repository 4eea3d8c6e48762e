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
  hasAnswerBegun?: boolean;
  isResumable?: boolean;
  leftMs?: number;
}

function plan(given: Case): FailureAction {
  const failed: FailedAttempt = {
    route: {
      name: 'r',
      host: 'h',
      prefix: '/',
      kind: given.kind,
      timeoutMs: 1_000,
      objectiveMs: 100,
      pauseMs: 100,
      targets: [],
      maxAttempts: given.maxAttempts ?? 2,
      isPublic: false,
      isResumable: given.isResumable ?? false,
    },
    verdict: given.verdict ?? Verdict.MayHaveRun,
    attempts: given.attempts ?? 1,
    hasResponseBegun: given.hasAnswerBegun ?? false,
    remainingMs: given.leftMs ?? 1_000,
  };
  return decideFailureAction(failed);
}

describe('next step after a failed attempt', () => {
  it('never repeats what may run once and may have run', () => {
    expect(plan({ kind: CallKind.AtMostOnce })).to.equal(FailureAction.Fail);
    expect(plan({ kind: CallKind.Stream })).to.equal(FailureAction.Fail);
  });

  it('repeats what has not run, whatever its kind', () => {
    const verdict = Verdict.NotRun;
    expect(plan({ kind: CallKind.AtMostOnce, verdict })).to.equal(FailureAction.Retry);
    expect(plan({ kind: CallKind.AtMostOnce, verdict, maxAttempts: 1 })).to.equal(
      FailureAction.Refuse,
    );
  });

  it('repeats idempotent requests up to the attempts of their route, while time is left', () => {
    expect(plan({ kind: CallKind.Idempotent })).to.equal(FailureAction.Retry);
    expect(plan({ kind: CallKind.Idempotent, attempts: 2 })).to.equal(FailureAction.Fail);
    expect(plan({ kind: CallKind.Idempotent, leftMs: 5 })).to.equal(FailureAction.Fail);
  });

  it('goes on with a stream where its route allows, and cuts it off otherwise', () => {
    const begun = { kind: CallKind.Stream, hasAnswerBegun: true };
    expect(plan({ ...begun, isResumable: true })).to.equal(FailureAction.Resume);
    expect(plan(begun)).to.equal(FailureAction.Abort);
    expect(plan({ ...begun, isResumable: true, maxAttempts: 1 })).to.equal(FailureAction.Abort);
  });
});
