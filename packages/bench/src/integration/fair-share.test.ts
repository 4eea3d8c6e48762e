import { expect } from 'chai';
import { EndpointKind, LEDGER_SHARD_COUNT } from '@poplarpick/decisions';
import { callChat, CallOutcome } from '@poplarpick/load';
import type { ChatResult } from '@poplarpick/load';
import { planSite } from '@poplarpick/stand-ins';
import { computeModelSlotBudgets } from '../fairness/live-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { RouterNode } from '../process-fleet/process-fleet.ts';

/** Small workspaces of the plan, both of weight 1. */
const FLOODING = 4;
const MODEST = 5;
const OUTPUT_TOKENS = 20;
/** Of the four tokens of a prompt here. */
const PROMPT_COST = 0.4;

interface ServiceSection {
  kind: EndpointKind;
  workspaces: { workspace: string; service: number }[];
}

describe('fair shares with real processes', function () {
  this.timeout(60_000);
  const plan = planSite({ slotsPerEngine: 2 });
  let fleet: ProcessFleet;

  before(async () => {
    fleet = await ProcessFleet.start({ plan, routers: 3 });
  });

  after(async () => {
    await fleet.stop();
  });

  function chat(workspace: number, router: number, index: number): Promise<ChatResult> {
    return callChat({
      url: fleet.routerUrls[router] ?? '',
      key: plan.workspaces[workspace]?.key ?? '',
      model: plan.model,
      prompt: `request ${index}`,
      outputTokens: OUTPUT_TOKENS,
      maxTokens: 100,
    });
  }

  async function readService(router: RouterNode, workspace: number): Promise<number> {
    const status = (await fleet.status(router.operators)) as unknown as {
      service: ServiceSection[];
    };
    const ledger = status.service.find(({ kind }) => kind === EndpointKind.Model);
    const name = plan.workspaces[workspace]?.name;
    return ledger?.workspaces.find((line) => line.workspace === name)?.service ?? 0;
  }

  /** The greatest total that any ledger shard holds. */
  async function readGreatest(workspace: number): Promise<number> {
    return Math.max(...(await Promise.all(fleet.routers.map((r) => readService(r, workspace)))));
  }

  it('serves a modest workspace while another floods through other routers', async () => {
    const flood = Array.from({ length: 150 }, (_, index) => chat(FLOODING, index % 2, index));
    const modest = Array.from({ length: 20 }, (_, index) => chat(MODEST, 2, index));
    const order: string[] = [];
    flood.forEach((call) => void call.then(() => order.push('flooding')));
    modest.forEach((call) => void call.then(() => order.push('modest')));
    const results = await Promise.all([...flood, ...modest]);
    expect(results.every(({ outcome }) => outcome === CallOutcome.Complete)).to.equal(true);
    const slots = [...computeModelSlotBudgets(plan).values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    const before = order
      .slice(0, order.lastIndexOf('modest'))
      .filter((name) => name === 'flooding');
    // Equal shares: as many of the flooding one, and what can run in all slots at the start and end.
    expect(before.length).to.be.at.most(modest.length + 2 * slots);
  });

  it('counts exactly what the engines produced, once nothing runs', async () => {
    const expected = 20 * (OUTPUT_TOKENS + PROMPT_COST);
    await waitFor(async () => Math.abs((await readGreatest(MODEST)) - expected) < 1.5);
  });

  it('rebuilds the ledger of a router that restarts, and goes on serving', async () => {
    const before = await readGreatest(FLOODING);
    // The third router stands in while a shard restarts, but holds none otherwise.
    const held = await Promise.all(fleet.routers.map((router) => readService(router, FLOODING)));
    expect(held.filter((service) => service > 0)).to.have.length(LEDGER_SHARD_COUNT);
    for (const [index, router] of fleet.routers.entries()) {
      await fleet.restartRouter(router);
      await router.process.waitFor('configuration.in_force');
      if (held[index] === 0) continue;
      await waitFor(async () => (await readService(router, FLOODING)) >= before - 1);
    }
    expect((await chat(MODEST, 0, 1_000)).outcome).to.equal(CallOutcome.Complete);
  });
});

/** Waits until a condition holds; the test's own limit ends it otherwise. */
async function waitFor(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, 50));
}
