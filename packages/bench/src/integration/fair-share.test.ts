import { expect } from 'chai';
import { EndpointKind, LEDGER_SHARD_COUNT } from '@poplarpick/decisions';
import { callChat, CallOutcome } from '@poplarpick/load';
import type { ChatResult } from '@poplarpick/load';
import { planSite } from '@poplarpick/stand-ins';
import { computeModelSlotBudgets } from '../fairness/live-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { RouterNode } from '../process-fleet/process-fleet.ts';

/** Indexes of two small workspaces of the plan, both of weight 1. */
const FLOODING = 4;
const MODEST = 5;
const OUTPUT_TOKENS = 20;
/** Service charged for the four prompt tokens of a request, in output tokens. */
const PROMPT_SERVICE = 0.4;

/** Time without a change after which totals are settled, in ms. */
const SETTLING_MS = 500;

/** Difference of two sums of the same charges in another order, in output tokens. */
const ROUNDING = 0.01;

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
    const status = (await fleet.fetchStatus(router.operatorsAddress)) as unknown as {
      service: ServiceSection[];
    };
    const ledger = status.service.find(({ kind }) => kind === EndpointKind.Model);
    const name = plan.workspaces[workspace]?.name;
    return ledger?.workspaces.find((line) => line.workspace === name)?.service ?? 0;
  }

  /** The largest total of a workspace in any ledger shard. */
  async function readMaxService(workspace: number): Promise<number> {
    return Math.max(...(await Promise.all(fleet.routers.map((r) => readService(r, workspace)))));
  }

  /** Totals of a workspace at each router, once no provisional charge changes them any more. */
  async function readSettledService(workspace: number): Promise<number[]> {
    const read = (): Promise<number[]> =>
      Promise.all(fleet.routers.map((router) => readService(router, workspace)));
    let latest = await read();
    for (;;) {
      await new Promise((resolve) => setTimeout(resolve, SETTLING_MS));
      const previous = latest;
      latest = await read();
      const owned = latest.filter((service) => service > 0);
      const spread = Math.max(...owned) - Math.min(...owned);
      if (spread < ROUNDING && latest.every((service, index) => service === previous[index]))
        return latest;
    }
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
    // With equal shares the flooding workspace finishes as many requests, plus those that fill all slots
    // at the start and at the end.
    expect(before.length).to.be.at.most(modest.length + 2 * slots);
  });

  it('accounts for what the engines produced within 1.5 output tokens, once nothing runs', async () => {
    const expected = 20 * (OUTPUT_TOKENS + PROMPT_SERVICE);
    await waitUntil(async () => Math.abs((await readMaxService(MODEST)) - expected) < 1.5);
  });

  it('rebuilds the ledger of a restarted router, and keeps serving', async () => {
    const serviceByRouter = await readSettledService(FLOODING);
    const before = Math.max(...serviceByRouter);
    // The third router takes a shard over while its owner restarts, and owns none otherwise.
    expect(serviceByRouter.filter((service) => service > 0)).to.have.length(LEDGER_SHARD_COUNT);
    for (const [index, router] of fleet.routers.entries()) {
      await fleet.restartRouter(router);
      await router.process.waitFor('configuration.in_force');
      if (serviceByRouter[index] === 0) continue;
      await waitUntil(async () => (await readService(router, FLOODING)) >= before - 1);
    }
    expect((await chat(MODEST, 0, 1_000)).outcome).to.equal(CallOutcome.Complete);
  });
});

/** Waits until a condition holds; the timeout of the test ends the wait otherwise. */
async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, 50));
}
