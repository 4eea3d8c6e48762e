import { expect } from 'chai';
import fc from 'fast-check';
import { nextFencingToken } from './fencing-token.ts';
import { computeLoadSlotMs, nextLoadSlot } from './load-slots.ts';
import { EngineAction, isWeightLoad, planNextOrder } from './order-planner.ts';
import type { EngineState, PlannedOrder } from './order-planner.ts';

const names = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'));

const desiredState = fc.record({
  endpoint: fc.constant('model-1'),
  models: names,
  adapters: names,
  version: fc.constantFrom('1', '2'),
  role: fc.constantFrom('mixed', 'decode'),
});

const initialState = fc.record({
  models: names,
  adapters: names,
  version: fc.constantFrom('1', '2'),
  role: fc.constantFrom('mixed', 'decode'),
  fencing: fc.constant(''),
  loading: fc.constant(false),
});

function applyOrder(state: EngineState, { action, value }: PlannedOrder): EngineState {
  switch (action) {
    case EngineAction.LoadModel:
      return { ...state, models: [...state.models, value] };
    case EngineAction.UnloadModel:
      return { ...state, models: state.models.filter((name) => name !== value) };
    case EngineAction.LoadAdapter:
      return { ...state, adapters: [...state.adapters, value] };
    case EngineAction.UnloadAdapter:
      return { ...state, adapters: state.adapters.filter((name) => name !== value) };
    case EngineAction.SetVersion:
      return { ...state, version: value };
    case EngineAction.SetRole:
      return { ...state, role: value };
  }
}

describe('planNextOrder', () => {
  it('reaches the desired state from any other, with loads before unloads', () => {
    fc.assert(
      fc.property(desiredState, initialState, (desired, initial) => {
        let state: EngineState = initial;
        const steps: PlannedOrder[] = [];
        for (
          let order = planNextOrder(desired, state);
          order !== undefined;
          order = planNextOrder(desired, state)
        ) {
          steps.push(order);
          state = applyOrder(state, order);
          expect(steps.length).to.be.at.most(12);
        }
        expect([...state.models].sort()).to.deep.equal([...desired.models].sort());
        expect([...state.adapters].sort()).to.deep.equal([...desired.adapters].sort());
        expect([state.version, state.role]).to.deep.equal([desired.version, desired.role]);
        const unload = steps.findIndex(({ action }) => action.startsWith('unload'));
        expect(unload >= 0 && steps.slice(unload).some(isWeightLoad)).to.equal(false);
      }),
      { seed: 4 },
    );
  });

  it('orders nothing while the engine loads', () => {
    const state = {
      models: [],
      adapters: [],
      version: '1',
      role: 'mixed',
      fencing: '',
      loading: true,
    };
    const desired = { endpoint: 'e', models: ['a'], adapters: [] };
    expect(planNextOrder(desired, state)).to.equal(undefined);
  });
});

describe('nextFencingToken', () => {
  it('increases across restarts, whatever the clock does, while the engine keeps its state', () => {
    const clocks = fc.array(fc.record({ now: fc.nat(), restart: fc.boolean() }));
    fc.assert(
      fc.property(clocks, (steps) => {
        let seen = '';
        let last = '';
        for (const { now, restart } of steps) {
          if (restart) last = '';
          const next = nextFencingToken(now, seen, last);
          expect(next > seen).to.equal(true);
          seen = next;
          last = next;
        }
      }),
      { seed: 4 },
    );
  });

  it('increases with the clock when the engine has lost its state', () => {
    const before = nextFencingToken(1_000, '', '');
    expect(nextFencingToken(1_001, '', '') > before).to.equal(true);
  });
});

describe('nextLoadSlot', () => {
  it('keeps the load rate of the fleet within the limit of the store despite clock skew', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 12 }),
        fc.integer({ min: 1, max: 5 }),
        fc.infiniteStream(fc.integer({ min: 0, max: 200 })),
        (count, readsPerSecond, skews) => {
          const endpoints = Array.from({ length: count }, (_, index) => `model-${index}`);
          const options = { readsPerSecond, clockSkewMs: 250, endpoints };
          const loads = endpoints.flatMap((name) => {
            const skew = skews.next().value;
            const times: number[] = [];
            for (let now = 50_000; times.length < 4; now = (times.at(-1) ?? 0) + 1)
              times.push(nextLoadSlot(options, name, now).startsAt);
            return times.map((time) => time + skew);
          });
          loads.sort((a, b) => a - b);
          loads.slice(readsPerSecond).forEach((time, index) => {
            expect(time - (loads[index] ?? 0)).to.be.at.least(1_000);
          });
        },
      ),
      { seed: 4 },
    );
  });

  it('gives each endpoint a slot in every round', () => {
    const endpoints = ['a', 'b', 'c'];
    const options = { readsPerSecond: 2, clockSkewMs: 100, endpoints };
    const round = computeLoadSlotMs(options) * endpoints.length;
    const starts = endpoints.map((name) => nextLoadSlot(options, name, 9_000).startsAt);
    expect(new Set(starts).size).to.equal(3);
    expect(Math.max(...starts)).to.be.below(9_000 + round + computeLoadSlotMs(options));
  });
});
