import { expect } from 'chai';
import { computeZipfShares, planRequests } from './request-plan.ts';
import { scenarioSchema } from './scenario.ts';

const { load } = scenarioSchema.parse({ name: 'test', load: { rate: 50, duration_s: 20 } });

function plan(seed: number, changes = {}) {
  return planRequests({ load: { ...load, ...changes }, seed, workspaces: 8, routers: 4 });
}

describe('planRequests', () => {
  it('makes the same plan from the same seed and another plan from another seed', () => {
    expect(plan(1)).to.deep.equal(plan(1));
    expect(plan(1)).to.not.deep.equal(plan(2));
  });

  it('matches the rate, with requests sorted by due time', () => {
    const requests = plan(3);
    expect(requests.length).to.be.within(850, 1_150);
    const times = requests.map(({ dueMs }) => dueMs);
    expect(times).to.deep.equal([...times].sort((a, b) => a - b));
  });

  it('sends every request of a workspace to its home router with full router affinity', () => {
    const requests = plan(4, { router_affinity: 1 });
    expect(requests.every(({ workspace, router }) => router === workspace % 4)).to.equal(true);
  });

  it('starts the prompt of each conversation turn with the earlier turns', () => {
    const prompts = plan(5, { conversation_share: 1 }).map(({ prompt }) => prompt);
    const continued = prompts.filter((prompt, index) =>
      prompts.slice(0, index).some((earlier) => prompt.startsWith(`${earlier} `)),
    );
    expect(continued.length).to.be.above(prompts.length / 2);
  });
});

describe('computeZipfShares', () => {
  it('is even without skew and uneven with it, and adds up to 1', () => {
    expect(computeZipfShares(4, 0)).to.deep.equal([0.25, 0.25, 0.25, 0.25]);
    const skewed = computeZipfShares(4, 1);
    expect(skewed[0]).to.be.closeTo(0.48, 1e-9);
    expect(skewed.reduce((sum, share) => sum + share, 0)).to.be.closeTo(1, 1e-9);
  });
});
