import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { callChat, CallOutcome } from '@poplarpick/load';
import { Fault, planSite } from '@poplarpick/stand-ins';
import { computeModelSlotBudgets } from '../fairness/live-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

/** Small workspaces of the plan, both of weight 1: one reaches both sides, the other only the first. */
const BOTH_SIDES = 4;
const ONE_SIDE = 5;
const OUTPUT_TOKENS = 20;
const HINT = 25;
const OUTSTANDING = 40;
const PARTED_MS = 8_000;
const HEALED_MS = 5_000;

describe('shares over a partition', function () {
  this.timeout(60_000);
  const plan = planSite({ slotsPerEngine: 2 });
  let fleet: ProcessFleet;

  before(async () => {
    fleet = await ProcessFleet.start({ plan, routers: 2, sidecarGroups: 2 });
  });

  after(async () => {
    await fleet.stop();
  });

  /** Parts the second group and its router from the first group and its router. */
  function setFault(fault: Fault): void {
    fleet.routers.forEach(({ proxies }, router) => {
      const other = proxies[1 - router];
      if (other !== undefined) other.fault = fault;
    });
  }

  it('serves both sides, and starves nobody when they meet again', async () => {
    const ended: number[] = [];
    let failed = 0;
    let running = true;
    const send = async (workspace: number, router: number): Promise<void> => {
      while (running) {
        const { outcome } = await callChat({
          url: fleet.routerUrls[router] ?? '',
          key: plan.workspaces[workspace]?.key ?? '',
          model: plan.model,
          prompt: 'request',
          outputTokens: OUTPUT_TOKENS,
          maxTokens: HINT,
        });
        ended.push(workspace);
        if (outcome !== CallOutcome.Complete) failed += 1;
      }
    };
    const callers = Array.from({ length: OUTSTANDING }, () => [
      send(BOTH_SIDES, 0),
      send(BOTH_SIDES, 1),
      send(ONE_SIDE, 0),
    ]).flat();
    setFault(Fault.Silence);
    await pause(PARTED_MS);
    const parted = ended.splice(0);
    setFault(Fault.None);
    await pause(HEALED_MS);
    running = false;
    const healed = [...ended];
    await Promise.all(callers);
    expect(failed).to.equal(0);
    expect(countOf(parted, ONE_SIDE)).to.be.above(0);
    // The side that one workspace has to itself gives it a lead that must not be caught up in full.
    expect(countOf(parted, BOTH_SIDES)).to.be.above(countOf(parted, ONE_SIDE));
    const slots = [...computeModelSlotBudgets(plan).values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    const configured = plan.endpoints.length * 2;
    const caughtUp = (configured * HINT) / OUTPUT_TOKENS;
    expect(longestRun(healed, ONE_SIDE)).to.be.at.most(Math.ceil(caughtUp) + 2 * slots);
    expect(countOf(healed, BOTH_SIDES)).to.be.above(0);
  });
});

function countOf(ended: readonly number[], workspace: number): number {
  return ended.filter((other) => other === workspace).length;
}

/** Most ends of one workspace's requests in a row. */
function longestRun(ended: readonly number[], workspace: number): number {
  let longest = 0;
  let run = 0;
  for (const other of ended) {
    run = other === workspace ? run + 1 : 0;
    longest = Math.max(longest, run);
  }
  return longest;
}
