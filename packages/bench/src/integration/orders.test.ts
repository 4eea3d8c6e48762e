import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { SitePreset, WeightStore } from '@poplarpick/stand-ins';
import type { DesiredEngineState } from '@poplarpick/decisions';
import type { ModelEngine } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { FleetProcess } from '../process-fleet/fleet-process.ts';

const READS_PER_SECOND = 4;
const STRICT = 'model-1';
const LAX = 'model-2';

describe('orders to engines with real processes', () => {
  let fleet: ProcessFleet;
  let store: WeightStore;
  let revision = 1;

  before(async () => {
    store = await new WeightStore({ readsPerSecond: READS_PER_SECOND }).start();
    fleet = await ProcessFleet.start({
      site: {
        engineDefaults: { weightStore: store.url, loadMs: 20 },
        engineOverrides: { [LAX]: { checksFencing: false } },
      },
    });
  });

  after(async () => {
    await fleet.stop();
    await store.stop();
  });

  function engine(name: string): ModelEngine {
    const found = fleet.site.modelEngines.get(name);
    if (found === undefined) throw new Error(`no engine ${name}`);
    return found;
  }

  /** Wants the same of every model engine. */
  function publish(extraModels: string[], role: string): void {
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

  async function post(name: string, order: Record<string, string>): Promise<number> {
    const body = JSON.stringify(order);
    const response = await fetch(`${engine(name).url}/v1/orders`, { method: 'POST', body });
    await response.arrayBuffer();
    return response.status;
  }

  it('brings every engine to the state of the preset, within the rate of the weight store', async () => {
    publish(['spare'], 'decode');
    await until(() =>
      [...fleet.site.modelEngines.values()].every(
        ({ state }) =>
          state.models.includes('spare') && state.version === '2' && state.role === 'decode',
      ),
    );
    expect(store.reads).to.deep.equal({ total: fleet.site.modelEngines.size, refused: 0 });
  });

  it('corrects an engine that ignores fencing numbers and took an old order', async () => {
    const { process, operatorsAddress } = fleet.findSidecar(LAX);
    // Only a change of a state that the sidecar has seen settled is a correction.
    await until(async () => (await readOrders(fleet, operatorsAddress)).settled === true);
    expect(await post(LAX, { fencing: '0', action: 'set-role', value: 'prefill' })).to.equal(200);
    await process.waitFor('repair.order_corrected');
    await until(() => engine(LAX).state.role === 'decode');
  });

  it('loses an old order at an engine that checks fencing numbers', async () => {
    expect(await post(STRICT, { fencing: '0', action: 'set-role', value: 'prefill' })).to.equal(
      409,
    );
    expect(engine(STRICT).state.role).to.equal('decode');
  });

  for (const name of [STRICT, LAX]) {
    it(`is not turned back by a replaced sidecar of ${name} that wakes from a pause`, async () => {
      const sidecar = fleet.findSidecar(name);
      const old: FleetProcess = sidecar.process;
      old.signal('SIGSTOP');
      await fleet.startReplacementSidecar(sidecar);
      const role = `role-of-${name}`;
      publish(['spare'], role);
      await until(() => engine(name).state.role === role);
      const roles = new Set<string>();
      const sampler = setInterval(() => roles.add(engine(name).state.role), 2);
      old.signal('SIGCONT');
      await pause(2_500);
      clearInterval(sampler);
      await old.kill();
      expect([...roles]).to.deep.equal([role]);
      expect(await post(name, { fencing: '0', action: 'set-role', value: 'late' })).to.be.oneOf([
        200, 409,
      ]);
      await until(() => engine(name).state.role === role);
    });
  }
});

async function readOrders(fleet: ProcessFleet, operators: string): Promise<{ settled?: boolean }> {
  const { orders } = await fleet.fetchStatus(operators);
  return orders as { settled?: boolean };
}

async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await holds())) await pause(10);
}
