import { expect } from 'chai';
import { decideAdmission } from './admission.ts';
import type { AdmissionInput } from './admission.ts';

const HALF = 0.5;
const BEYOND = { shareUsed: 1.2, surplusUsed: 0.8 };

function input(part: Partial<AdmissionInput>): AdmissionInput {
  return {
    waitMs: 0,
    serviceMs: 100,
    objectiveMs: 400,
    remainingMs: 10_000,
    shareUsage: { shareUsed: 0, surplusUsed: 0 },
    surplusWaitLimit: 0.03,
    isCallerRetry: false,
    ...part,
  };
}

describe('admission', () => {
  it('accepts what can be on time, and refuses at once what waits too long', () => {
    expect(decideAdmission(input({ waitMs: 300 }), HALF).isAccepted).to.equal(true);
    const refused = decideAdmission(input({ waitMs: 900 }), HALF);
    expect(refused.isAccepted).to.equal(false);
    expect(refused.retryAfterMs).to.be.greaterThan(0);
  });

  it('does not count the reading of the request itself against it', () => {
    expect(decideAdmission(input({ serviceMs: 900 }), HALF).isAccepted).to.equal(true);
  });

  it('refuses what its caller would not wait for', () => {
    expect(
      decideAdmission(input({ serviceMs: 900, remainingMs: 1_000 }), HALF).isAccepted,
    ).to.equal(false);
  });

  it('holds a workspace beyond its share back while others wait, and serves it when all is calm', () => {
    expect(decideAdmission(input({ shareUsage: BEYOND, waitMs: 100 }), HALF).isAccepted).to.equal(
      false,
    );
    expect(decideAdmission(input({ shareUsage: BEYOND }), HALF).isAccepted).to.equal(true);
  });

  it('leaves the surplus to workspaces that got less of it, though nothing is ahead', () => {
    const shareUsage = { shareUsed: 8, surplusUsed: 1.5 };
    expect(decideAdmission(input({ shareUsage }), HALF).isAccepted).to.equal(false);
  });

  it('lets a workspace that is behind in the surplus wait longer for it than one that has most', () => {
    const waitMs = 40;
    const behind = { shareUsed: 1.1, surplusUsed: 0.25 };
    const ahead = { shareUsed: 3.5, surplusUsed: 0.9 };
    expect(decideAdmission(input({ shareUsage: behind, waitMs }), HALF).isAccepted).to.equal(true);
    expect(decideAdmission(input({ shareUsage: ahead, waitMs }), HALF).isAccepted).to.equal(false);
  });

  it('fills the share of a workspace with requests that can still be on time', () => {
    const shareUsage = { shareUsed: 0.8, surplusUsed: 0.8 };
    const waitMs = 200;
    expect(decideAdmission(input({ shareUsage, waitMs }), HALF).isAccepted).to.equal(true);
    const returning = input({ shareUsage, waitMs, isCallerRetry: true });
    expect(decideAdmission(returning, HALF).isAccepted).to.equal(false);
  });

  it('lets a request that came back wait longer than a new one', () => {
    const waitMs = 500;
    expect(decideAdmission(input({ waitMs }), HALF).isAccepted).to.equal(false);
    expect(decideAdmission(input({ waitMs, isCallerRetry: true }), HALF).isAccepted).to.equal(true);
  });

  it('spreads the returns', () => {
    const early = decideAdmission(input({ waitMs: 900 }), 0).retryAfterMs;
    const late = decideAdmission(input({ waitMs: 900 }), 1).retryAfterMs;
    expect(late - early).to.be.greaterThan(100);
  });
});
