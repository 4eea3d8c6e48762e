import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { BudgetCause } from '@poplarpick/decisions';
import { callChat, CallOutcome, buildChatBody } from '@poplarpick/load';
import type { ChatResult } from '@poplarpick/load';
import {
  expectedAnswer,
  Fault,
  IDLE_WATTS,
  SitePreset,
  WATTS_PER_SLOT,
} from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { SidecarNode } from '../process-fleet/process-fleet.ts';

const SETTLE_MS = 1_500;
const OUTPUT_TOKENS = 200;
const ENGINE = 'model-1';

describe('the power cap with real processes', () => {
  let fleet: ProcessFleet;
  let revision = 1;

  before(async () => {
    fleet = await ProcessFleet.start({ site: { settleMs: SETTLE_MS } });
  });

  after(async () => {
    await fleet.stop();
  });

  function publish(preset: SitePreset): void {
    revision += 1;
    fleet.site.publish({ revision, preset, settleMs: SETTLE_MS });
  }

  /** Sends `count` long requests at once and expects a complete answer to each. */
  function sendLongRequests(count: number): Promise<void>[] {
    const { workspaces, model } = fleet.site.plan;
    return Array.from({ length: count }, async (_, index) => {
      const url = fleet.routerUrls[index % fleet.routerUrls.length] ?? '';
      const key = workspaces[index % workspaces.length]?.key ?? '';
      const call = { url, key, model, prompt: `question ${index}`, outputTokens: OUTPUT_TOKENS };
      expectCompleteAnswer(await callChat(call), expectedAnswer(buildChatBody(call)));
    });
  }

  function expectCompleteAnswer(result: ChatResult, text: string): void {
    expect(result.outcome).to.equal(CallOutcome.Complete);
    expect(result.text).to.equal(text);
  }

  function countRunning(): number {
    return fleet.site.modelEngines.get(ENGINE)?.running ?? 0;
  }

  async function readAdmission(sidecar: SidecarNode) {
    return (await fleet.fetchStatus(sidecar.operatorsAddress)) as unknown as {
      admission: { slots: number; suspended: number; power: { powerSlots: number; cause: string } };
    };
  }

  async function waitForBudgetCause(sidecar: SidecarNode, cause: BudgetCause): Promise<number> {
    for (;;) {
      const { admission } = await readAdmission(sidecar);
      if (admission.power.cause === cause) return admission.power.powerSlots;
      await pause(50);
    }
  }

  it('suspends streams under a lowered cap, resumes them under the raised one, and loses no answer', async () => {
    publish(SitePreset.Peak);
    const sidecar = fleet.findSidecar(ENGINE);
    const peakSlots = await waitUntilSettled(sidecar);
    const answers = sendLongRequests(30);
    await waitUntil(() => countRunning() === peakSlots);
    publish(SitePreset.Maintenance);
    await sidecar.process.waitFor('request.suspended');
    await waitUntil(() => countRunning() < peakSlots);
    const loweredStatus = await readAdmission(sidecar);
    await waitUntil(() => countRunning() === loweredStatus.admission.power.powerSlots);
    expect(loweredStatus.admission.power.powerSlots).to.be.below(peakSlots);
    const loweredWatts = powerDraw(fleet, fleet.site.plan.dataCentres[0] ?? '');
    expect(loweredWatts).to.be.at.most(powerCap(fleet, SitePreset.Maintenance));
    publish(SitePreset.Peak);
    await waitUntil(() => countRunning() === peakSlots);
    await Promise.all(answers);
  });

  it('does not reuse a slot that a run of the previous sidecar still occupies', async () => {
    const sidecar = fleet.findSidecar(ENGINE);
    const slots = await waitUntilSettled(sidecar);
    const calls = sendLongRequests(26).map((answer) => answer.catch(() => undefined));
    await waitUntil(() => countRunning() === slots);
    let maxRunning = 0;
    const sampler = setInterval(() => (maxRunning = Math.max(maxRunning, countRunning())), 2);
    await fleet.restartSidecar(sidecar);
    await sidecar.process.waitFor('configuration.in_force');
    await waitUntilSettled(sidecar);
    await Promise.all(calls);
    clearInterval(sampler);
    expect(maxRunning).to.be.at.most(slots);
  });

  it('falls back to the minimum budget while cut off, and recovers', async () => {
    const sidecar = fleet.findSidecar(ENGINE);
    const slots = await waitUntilSettled(sidecar);
    fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.Cut));
    const floor = await waitForBudgetCause(sidecar, BudgetCause.Unconfirmed);
    expect(floor).to.be.below(slots);
    fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.None));
    expect(await waitForBudgetCause(sidecar, BudgetCause.InForce)).to.equal(slots);
  });

  it('applies the lowered cap after a pause during which the preset changed', async () => {
    const sidecar = fleet.findSidecar(ENGINE);
    const slots = await waitUntilSettled(sidecar);
    sidecar.process.signal('SIGSTOP');
    publish(SitePreset.Maintenance);
    await pause(SETTLE_MS);
    const answers = sendLongRequests(20);
    let maxRunning = 0;
    const sampler = setInterval(() => (maxRunning = Math.max(maxRunning, countRunning())), 2);
    sidecar.process.signal('SIGCONT');
    await Promise.all(answers);
    clearInterval(sampler);
    expect(maxRunning).to.be.within(1, slots - 1);
  });

  /** Waits until the budget follows the latest published revision, and returns its slots. */
  async function waitUntilSettled(sidecar: SidecarNode): Promise<number> {
    for (;;) {
      const { configuration } = await fleet.fetchStatus(sidecar.operatorsAddress);
      if (configuration.revision === revision) break;
      await pause(50);
    }
    return waitForBudgetCause(sidecar, BudgetCause.InForce);
  }
});

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(2);
}

/** Power draw of a data centre: all its engines when idle, and the requests that its model engines run. */
function powerDraw(fleet: ProcessFleet, dataCentre: string): number {
  const endpoints = fleet.site.plan.endpoints.filter(
    (endpoint) => endpoint.dataCentre === dataCentre,
  );
  const busy = endpoints.reduce(
    (sum, { name }) => sum + (fleet.site.modelEngines.get(name)?.running ?? 0),
    0,
  );
  return endpoints.length * IDLE_WATTS + busy * WATTS_PER_SLOT;
}

/** Power cap of the first data centre under a preset, in watts. */
function powerCap(fleet: ProcessFleet, preset: SitePreset): number {
  const share = preset === SitePreset.Maintenance ? 0.7 : 1;
  const [dataCentre] = fleet.site.plan.dataCentres;
  const endpoints = fleet.site.plan.endpoints.filter(
    (endpoint) => endpoint.dataCentre === dataCentre,
  );
  return (
    share *
    endpoints.reduce((sum, endpoint) => sum + IDLE_WATTS + endpoint.slots * WATTS_PER_SLOT, 0)
  );
}
