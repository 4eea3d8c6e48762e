import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointKind } from '../configuration/fleet-configuration.ts';
import type { FleetConfiguration } from '../configuration/fleet-configuration.ts';
import { allocateSlots, computeSlotBudget } from './slot-budget.ts';

const generatedEndpoints = fc
  .array(
    fc.record({
      slots: fc.integer({ min: 1, max: 12 }),
      idle_watts: fc.integer({ min: 0, max: 300 }),
      watts_per_slot: fc.integer({ min: 1, max: 100 }),
    }),
    { minLength: 1, maxLength: 8 },
  )
  .map((endpoints) =>
    endpoints.map((endpoint, index) => ({
      ...endpoint,
      name: `engine-${index}`,
      kind: EndpointKind.Model,
      data_centre: 'ct1',
      models: ['m'],
      checks_sender: false,
    })),
  );

function createConfiguration(
  endpoints: FleetConfiguration['endpoints'],
  watts: number,
): FleetConfiguration {
  return {
    revision: 1,
    preset: 'ordinary',
    operator_key_hashes: [],
    data_centres: [{ name: 'ct1', region: 'east' }],
    models: [{ name: 'm' }],
    services: [],
    workspaces: [],
    endpoints,
    presets: [
      { name: 'ordinary', caps: [{ data_centre: 'ct1', watts }], weights: [], engines: [] },
    ],
    power: { settle_ms: 2_000, load_lag_ms: 500 },
    weight_store: { reads_per_second: 1, clock_skew_ms: 250 },
    planned_stops: [],
  };
}

describe('allocateSlots', () => {
  it('never exceeds the cap with any slot allocated', () => {
    fc.assert(
      fc.property(generatedEndpoints, fc.integer({ min: 1, max: 5_000 }), (endpoints, watts) => {
        const slots = allocateSlots(createConfiguration(endpoints, watts), 'ct1');
        const idle = endpoints.reduce((sum, endpoint) => sum + endpoint.idle_watts, 0);
        const busy = endpoints.reduce(
          (sum, endpoint) => sum + endpoint.watts_per_slot * (slots.get(endpoint.name) ?? 0),
          0,
        );
        expect(busy === 0 || idle + busy <= watts).to.equal(true);
      }),
    );
  });

  it('leaves no slot unallocated that the cap would allow', () => {
    fc.assert(
      fc.property(generatedEndpoints, fc.integer({ min: 1, max: 5_000 }), (endpoints, watts) => {
        const slots = allocateSlots(createConfiguration(endpoints, watts), 'ct1');
        const used = endpoints.reduce(
          (sum, endpoint) =>
            sum + endpoint.idle_watts + endpoint.watts_per_slot * (slots.get(endpoint.name) ?? 0),
          0,
        );
        const open = endpoints.filter(
          (endpoint) => (slots.get(endpoint.name) ?? 0) < endpoint.slots,
        );
        expect(open.every((endpoint) => used + endpoint.watts_per_slot > watts)).to.equal(true);
      }),
    );
  });

  it('allocates no slots under a cap below the idle power, and ignores it for other presets', () => {
    const endpoint = {
      name: 'booking',
      kind: EndpointKind.Application,
      data_centre: 'ct1',
      models: [],
      slots: 2,
      idle_watts: 200,
      watts_per_slot: 50,
      checks_sender: false,
    };
    const ordinary = createConfiguration([endpoint], 300);
    const low = {
      name: 'low',
      caps: [{ data_centre: 'ct1', watts: 150 }],
      weights: [],
      engines: [],
    };
    const configuration = { ...ordinary, presets: [...ordinary.presets, low] };
    expect(computeSlotBudget(configuration, 'booking')).to.equal(2);
    expect(computeSlotBudget({ ...configuration, preset: 'low' }, 'booking')).to.equal(0);
  });

  it('allocates no slots to an unknown endpoint', () => {
    expect(computeSlotBudget(createConfiguration([], 100), 'engine-0')).to.equal(0);
  });
});
