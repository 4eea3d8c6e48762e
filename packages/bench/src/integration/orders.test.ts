import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { SitePreset, WeightStore } from '@poplarpick/stand-ins';
import type { DesiredEngineState } from '@poplarpick/decisions';
import type { ModelEngine } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { FleetProcess } from '../process-fleet/fleet-process.ts';

const READS_PER_SECOND = 4;
const FENCING_ENGINE = 'model-1';
const NON_FENCING_ENGINE = 'model-2';

describe('orders to engines with real processes', () => {
  let fleet: ProcessFleet;
  let store: WeightStore;
  let revision = 1;

  before(async () => {
    store = await new WeightStore({ readsPerSecond: READS_PER_SECOND }).start();
    fleet = await ProcessFleet.start({
      site: {
        engineDefaults: { weightStore: store.url, loadMs: 20 },
        engineOverrides: { [NON_FENCING_ENGINE]: { checksFencing: false } },
      },
    });
  });

  after(async () => {
    await fleet.stop();
    await store.stop();
  });

  function findEngine(name: string): ModelEngine {
    const found = fleet.site.modelEngines.get(name);
    if (found === undefined) throw new Error(`no engine ${name}`);
    return found;
  }

  /** Publishes a revision with the same desired state for every model engine. */
  function publishEngineStates(extraModels: string[], role: string): void {
    const { model } = fleet.site.plan;
    const names = [...fleet.site.modelEngines.keys()];
    const engineStates: DesiredEngineState[] = names.map((endpoint) => ({
      endpoint,
      models: [model, ...extraModels],
      adapters: [],
      version: '2',
      role,
    }));
    revision += 1;
    const weightStoreReadsPerSecond = READS_PER_SECOND;
    fleet.site.publish({
      revision,
      preset: SitePreset.Ordinary,
      engineStates,
      weightStoreReadsPerSecond,
    });
  }

  async function postOrder(name: string, order: Record<string, string>): Promise<number> {
    const body = JSON.stringify(order);
    const response = await fetch(`${findEngine(name).url}/v1/orders`, { method: 'POST', body });
    await response.arrayBuffer();
    return response.status;
  }

  it('brings every engine to the state of the preset, within the rate of the weight store', async () => {
    publishEngineStates(['spare'], 'decode');
    await waitUntil(() =>
      [...fleet.site.modelEngines.values()].every(
        ({ state }) =>
          state.models.includes('spare') && state.version === '2' && state.role === 'decode',
      ),
    );
    expect(store.reads).to.deep.equal({ total: fleet.site.modelEngines.size, refused: 0 });
  });

  it('corrects an engine that ignores fencing tokens and has executed a stale order', async () => {
    const { process, operatorsAddress } = fleet.findSidecar(NON_FENCING_ENGINE);
    // The sidecar counts a change as a correction only after it has seen the state settled.
    await waitUntil(async () => (await readOrders(fleet, operatorsAddress)).settled === true);
    expect(
      await postOrder(NON_FENCING_ENGINE, { fencing: '0', action: 'set-role', value: 'prefill' }),
    ).to.equal(200);
    await process.waitFor('repair.order_corrected');
    await waitUntil(() => findEngine(NON_FENCING_ENGINE).state.role === 'decode');
  });

  it('has a stale order rejected by an engine that checks fencing tokens', async () => {
    expect(
      await postOrder(FENCING_ENGINE, { fencing: '0', action: 'set-role', value: 'prefill' }),
    ).to.equal(409);
    expect(findEngine(FENCING_ENGINE).state.role).to.equal('decode');
  });

  for (const name of [FENCING_ENGINE, NON_FENCING_ENGINE]) {
    it(`keeps the state of ${name} when its replaced sidecar resumes after a pause`, async () => {
      const sidecar = fleet.findSidecar(name);
      const pausedProcess: FleetProcess = sidecar.process;
      pausedProcess.signal('SIGSTOP');
      await fleet.startReplacementSidecar(sidecar);
      const role = `role-of-${name}`;
      publishEngineStates(['spare'], role);
      await waitUntil(() => findEngine(name).state.role === role);
      const roles = new Set<string>();
      const sampler = setInterval(() => roles.add(findEngine(name).state.role), 2);
      pausedProcess.signal('SIGCONT');
      await pause(2_500);
      clearInterval(sampler);
      await pausedProcess.kill();
      expect([...roles]).to.deep.equal([role]);
      expect(
        await postOrder(name, { fencing: '0', action: 'set-role', value: 'late' }),
      ).to.be.oneOf([200, 409]);
      await waitUntil(() => findEngine(name).state.role === role);
    });
  }
});

async function readOrders(
  fleet: ProcessFleet,
  operatorsAddress: string,
): Promise<{ settled?: boolean }> {
  const { orders } = await fleet.fetchStatus(operatorsAddress);
  return orders as { settled?: boolean };
}

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await pause(10);
}
