/**
 * Computes the slots that an endpoint may use under the power cap of its data centre. A slot allows
 * one running request. The result depends on the configuration alone, so every process computes the
 * same allocation without communication.
 *
 * A call to an application engine cannot be suspended, so an application engine has the same slots
 * under every preset: the fewest that any preset allows. Presets whose cap is below the idle power are
 * ignored for this, since no allocation can satisfy them. Model engines share the remaining power.
 */
import { EndpointKind, findPreset } from '../configuration/fleet-configuration.ts';
import type {
  EndpointConfiguration,
  FleetConfiguration,
  PresetConfiguration,
} from '../configuration/fleet-configuration.ts';

/** Slots of an endpoint under the preset in force; 0 for an endpoint that is not configured. */
export function computeSlotBudget(configuration: FleetConfiguration, endpointName: string): number {
  return findSlots(configuration, endpointName, findPreset(configuration));
}

/**
 * The fewest slots that an endpoint has under any preset, and so safe whichever preset is in force.
 * Presets whose cap is below the idle power of the data centre are ignored.
 */
export function computeSlotFloor(configuration: FleetConfiguration, endpointName: string): number {
  const endpoint = configuration.endpoints.find((entry) => entry.name === endpointName);
  if (endpoint === undefined) return 0;
  const peers = configuration.endpoints.filter(
    (entry) => entry.data_centre === endpoint.data_centre,
  );
  const slots = configuration.presets
    .filter((preset) => computeAvailableWatts(peers, preset, endpoint.data_centre) >= 0)
    .map((preset) => findSlots(configuration, endpointName, preset));
  return slots.length === 0 ? 0 : Math.min(...slots);
}

/** Slots of every endpoint of a data centre by name, under a preset; the default is the one in force. */
export function allocateSlots(
  configuration: FleetConfiguration,
  dataCentre: string,
  preset: PresetConfiguration = findPreset(configuration),
): Map<string, number> {
  const endpoints = configuration.endpoints
    .filter((entry) => entry.data_centre === dataCentre)
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  const applications = endpoints.filter((entry) => entry.kind === EndpointKind.Application);
  const watts = computeAvailableWatts(endpoints, preset, dataCentre);
  if (watts < 0) return new Map(endpoints.map((entry) => [entry.name, 0]));
  const applicationSlots = computeApplicationSlots(configuration.presets, endpoints, dataCentre);
  const used = applications.reduce(
    (sum, entry) => sum + entry.watts_per_slot * (applicationSlots.get(entry.name) ?? 0),
    0,
  );
  const models = endpoints.filter((entry) => entry.kind !== EndpointKind.Application);
  return new Map([...applicationSlots, ...allocateWatts(models, watts - used)]);
}

function findSlots(
  configuration: FleetConfiguration,
  endpointName: string,
  preset: PresetConfiguration,
): number {
  const endpoint = configuration.endpoints.find((entry) => entry.name === endpointName);
  if (endpoint === undefined) return 0;
  return allocateSlots(configuration, endpoint.data_centre, preset).get(endpointName) ?? 0;
}

/** Slots of the application engines, which are the same under every preset. */
function computeApplicationSlots(
  presets: readonly PresetConfiguration[],
  endpoints: readonly EndpointConfiguration[],
  dataCentre: string,
): Map<string, number> {
  const allocations = presets
    .map((preset) => computeAvailableWatts(endpoints, preset, dataCentre))
    .filter((watts) => watts >= 0)
    .map((watts) => allocateWatts(endpoints, watts));
  const applications = endpoints.filter((entry) => entry.kind === EndpointKind.Application);
  return new Map(
    applications.map(({ name }) => [
      name,
      Math.min(...allocations.map((allocation) => allocation.get(name) ?? 0)),
    ]),
  );
}

/** Power cap minus the idle power of the endpoints, in watts; infinite without a cap. */
function computeAvailableWatts(
  endpoints: readonly EndpointConfiguration[],
  preset: PresetConfiguration,
  dataCentre: string,
): number {
  const cap = preset.caps.find((entry) => entry.data_centre === dataCentre);
  if (cap === undefined) return Infinity;
  return cap.watts - endpoints.reduce((sum, entry) => sum + entry.idle_watts, 0);
}

/** Allocates slots round robin, in the order of `endpoints`, until the watts are used up. */
function allocateWatts(
  endpoints: readonly EndpointConfiguration[],
  watts: number,
): Map<string, number> {
  const slots = new Map(endpoints.map((entry) => [entry.name, 0]));
  let remainingWatts = watts;
  for (let hasAllocated = true; hasAllocated;) {
    hasAllocated = false;
    for (const entry of endpoints) {
      const allocated = slots.get(entry.name) ?? 0;
      if (allocated >= entry.slots || entry.watts_per_slot > remainingWatts) continue;
      slots.set(entry.name, allocated + 1);
      remainingWatts -= entry.watts_per_slot;
      hasAllocated = true;
    }
  }
  return slots;
}
