import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { callChat, CallOutcome } from '@poplarpick/load';
import { Fault, planSite } from '@poplarpick/stand-ins';
import { computeModelSlotBudgets } from '../fairness/live-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

/**
 * Indexes of two small workspaces of the plan, both of weight 1: one sends to both sides of the partition, the
 * other only to the first.
 */
const BOTH_SIDES = 4;
const ONE_SIDE = 5;
const OUTPUT_TOKENS = 20;
const OUTPUT_TOKEN_HINT = 25;
/** Concurrent callers of a workspace at a router. */
const CALLERS_PER_STREAM = 40;
const PARTITION_MS = 8_000;
const HEALED_MS = 5_000;

describe('fair shares across a partition', function () {
  this.timeout(60_000);
  const plan = planSite({ slotsPerEngine: 2 });
  let fleet: ProcessFleet;

  before(async () => {
    fleet = await ProcessFleet.start({ plan, routers: 2, sidecarGroups: 2 });
  });

  after(async () => {
    await fleet.stop();
  });

  /** Applies a fault to the links between each sidecar group and the router of the other group. */
  function setPartitionFault(fault: Fault): void {
    fleet.routers.forEach(({ linkProxies }, router) => {
      const other = linkProxies[1 - router];
      if (other !== undefined) other.fault = fault;
    });
  }

  it('serves both sides, and starves no workspace after the partition heals', async () => {
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
          maxTokens: OUTPUT_TOKEN_HINT,
        });
        ended.push(workspace);
        if (outcome !== CallOutcome.Complete) failed += 1;
      }
    };
    const callers = Array.from({ length: CALLERS_PER_STREAM }, () => [
      send(BOTH_SIDES, 0),
      send(BOTH_SIDES, 1),
      send(ONE_SIDE, 0),
    ]).flat();
    setPartitionFault(Fault.Silence);
    await pause(PARTITION_MS);
    const endedDuringPartition = ended.splice(0);
    setPartitionFault(Fault.None);
    await pause(HEALED_MS);
    running = false;
    const endedAfterHeal = [...ended];
    await Promise.all(callers);
    expect(failed).to.equal(0);
    expect(countOf(endedDuringPartition, ONE_SIDE)).to.be.above(0);
    // The workspace on both sides has the second side to itself and gets ahead. The other workspace must not
    // catch up on the whole lead, since that would starve the first one.
    expect(countOf(endedDuringPartition, BOTH_SIDES)).to.be.above(
      countOf(endedDuringPartition, ONE_SIDE),
    );
    const slots = [...computeModelSlotBudgets(plan).values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    const configured = plan.endpoints.length * 2;
    const catchUpRequests = (configured * OUTPUT_TOKEN_HINT) / OUTPUT_TOKENS;
    expect(longestStreak(endedAfterHeal, ONE_SIDE)).to.be.at.most(
      Math.ceil(catchUpRequests) + 2 * slots,
    );
    expect(countOf(endedAfterHeal, BOTH_SIDES)).to.be.above(0);
  });
});

function countOf(ended: readonly number[], workspace: number): number {
  return ended.filter((other) => other === workspace).length;
}

/** Length of the longest run of consecutive completions of one workspace. */
function longestStreak(ended: readonly number[], workspace: number): number {
  let longest = 0;
  let run = 0;
  for (const other of ended) {
    run = other === workspace ? run + 1 : 0;
    longest = Math.max(longest, run);
  }
  return longest;
}
