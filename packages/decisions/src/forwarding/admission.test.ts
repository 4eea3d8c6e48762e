import { expect } from 'chai';
import { decideAdmission } from './admission.ts';
import type { AdmissionInput } from './admission.ts';

const HALF = 0.5;
const OVER_SHARE = { shareUsed: 1.2, surplusUsed: 0.8 };

function input(overrides: Partial<AdmissionInput>): AdmissionInput {
  return {
    waitMs: 0,
    serviceMs: 100,
    objectiveMs: 400,
    remainingMs: 10_000,
    shareUsage: { shareUsed: 0, surplusUsed: 0 },
    surplusWaitLimit: 0.03,
    isCallerRetry: false,
    ...overrides,
  };
}

describe('admission', () => {
  it('accepts requests that can be on time, and refuses requests that would wait too long', () => {
    expect(decideAdmission(input({ waitMs: 300 }), HALF).isAccepted).to.equal(true);
    const refused = decideAdmission(input({ waitMs: 900 }), HALF);
    expect(refused.isAccepted).to.equal(false);
    expect(refused.retryAfterMs).to.be.greaterThan(0);
  });

  it('accepts no long wait for a long objective at an engine whose queue short objectives share', () => {
    const long = input({ objectiveMs: 800, queueObjectiveMs: 400 });
    expect(decideAdmission({ ...long, waitMs: 300 }, HALF).isAccepted).to.equal(true);
    expect(decideAdmission({ ...long, waitMs: 500 }, HALF).isAccepted).to.equal(false);
    const retry = { ...long, waitMs: 700, isCallerRetry: true };
    expect(decideAdmission(retry, HALF).isAccepted).to.equal(false);
    const short = input({ objectiveMs: 400, queueObjectiveMs: 300, waitMs: 260 });
    expect(decideAdmission(short, HALF).isAccepted).to.equal(true);
  });

  it('still serves a long objective beside one that no engine can meet', () => {
    const long = input({ objectiveMs: 800, queueObjectiveMs: 20 });
    expect(decideAdmission({ ...long, waitMs: 300 }, HALF).isAccepted).to.equal(true);
    expect(decideAdmission({ ...long, waitMs: 500 }, HALF).isAccepted).to.equal(false);
  });

  it('does not count the prefill time of the request itself as wait', () => {
    expect(decideAdmission(input({ serviceMs: 900 }), HALF).isAccepted).to.equal(true);
  });

  it('accepts a request that resumes a stream though its workspace has used up its share', () => {
    const shareUsage = { shareUsed: 8, surplusUsed: 1.5 };
    const resumption = input({ shareUsage, waitMs: 500, isResumption: true });
    expect(decideAdmission(resumption, HALF)).to.include({ isAccepted: true, isOverShare: false });
    const late = input({ waitMs: 700, isResumption: true });
    expect(decideAdmission(late, HALF).isAccepted).to.equal(false);
  });

  it('refuses requests that would miss their deadline', () => {
    expect(
      decideAdmission(input({ serviceMs: 900, remainingMs: 1_000 }), HALF).isAccepted,
    ).to.equal(false);
  });

  it('refuses a workspace over its share behind a queue, and accepts it without one', () => {
    expect(
      decideAdmission(input({ shareUsage: OVER_SHARE, waitMs: 100 }), HALF).isAccepted,
    ).to.equal(false);
    expect(decideAdmission(input({ shareUsage: OVER_SHARE }), HALF).isAccepted).to.equal(true);
  });

  it('refuses a workspace over its share of a contended surplus, even without a queue', () => {
    const shareUsage = { shareUsed: 8, surplusUsed: 1.5 };
    expect(decideAdmission(input({ shareUsage }), HALF).isAccepted).to.equal(false);
  });

  it('lets a workspace with little of the surplus wait longer for it than one with most of it', () => {
    const waitMs = 40;
    const underserved = { shareUsed: 1.1, surplusUsed: 0.25 };
    const wellServed = { shareUsed: 3.5, surplusUsed: 0.9 };
    expect(decideAdmission(input({ shareUsage: underserved, waitMs }), HALF).isAccepted).to.equal(
      true,
    );
    expect(decideAdmission(input({ shareUsage: wellServed, waitMs }), HALF).isAccepted).to.equal(
      false,
    );
  });

  it('reserves the share of a workspace for new requests under contention', () => {
    const shareUsage = { shareUsed: 0.8, surplusUsed: 0.8 };
    const waitMs = 200;
    expect(decideAdmission(input({ shareUsage, waitMs }), HALF).isAccepted).to.equal(true);
    const callerRetry = input({ shareUsage, waitMs, isCallerRetry: true });
    expect(decideAdmission(callerRetry, HALF).isAccepted).to.equal(false);
  });

  it('lets a caller retry wait longer than a new request without contention', () => {
    const waitMs = 500;
    expect(decideAdmission(input({ waitMs }), HALF).isAccepted).to.equal(false);
    expect(decideAdmission(input({ waitMs, isCallerRetry: true }), HALF).isAccepted).to.equal(true);
  });

  it('adds jitter to the retry-after time', () => {
    const early = decideAdmission(input({ waitMs: 900 }), 0).retryAfterMs;
    const late = decideAdmission(input({ waitMs: 900 }), 1).retryAfterMs;
    expect(late - early).to.be.greaterThan(100);
  });
});

describe('admission where running streams are slow', () => {
  it('finds no surplus there, and still accepts requests within the share', () => {
    const slow = { paceUsed: 0.9, surplusWaitLimit: 0.3 };
    expect(decideAdmission(input({ ...slow }), HALF).isAccepted).to.equal(true);
    const overShare = input({ ...slow, shareUsage: OVER_SHARE });
    expect(decideAdmission(overShare, HALF)).to.include({ isAccepted: false, isOverShare: true });
    expect(decideAdmission({ ...overShare, paceUsed: 0.5 }, HALF).isAccepted).to.equal(true);
  });

  it('still has some for a workspace that has received little of it', () => {
    const slow = { paceUsed: 1.2, surplusWaitLimit: 0.3 };
    const underserved = input({ ...slow, shareUsage: { shareUsed: 1.2, surplusUsed: 0.3 } });
    expect(decideAdmission(underserved, HALF).isAccepted).to.equal(true);
    expect(decideAdmission({ ...underserved, paceUsed: 1.7 }, HALF).isAccepted).to.equal(false);
  });
});
