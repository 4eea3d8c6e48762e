/**
 * Slots that an endpoint may use under the power cap of its data centre. The budget follows from the
 * configuration alone, so every process computes the same without talking.
 *
 * A call at an application engine cannot be suspended, so its engine's slots are the same under every
 * preset: the fewest that any preset allows, but for presets whose cap is below the idle power, which
 * no allocation can keep. Model engines share what is left.
 */
import { EndpointKind, findPreset } from '../configuration/fleet-configuration.ts';
import type {
  EndpointConfiguration,
  FleetConfiguration,
  PresetConfiguration,
} from '../configuration/fleet-configuration.ts';

/** Slots of an endpoint under the preset in force; 0 for one that is not configured. */
export function computeSlotBudget(configuration: FleetConfiguration, endpointName: string): number {
  return findSlots(configuration, endpointName, findPreset(configuration));
}

/**
 * The fewest slots that an endpoint has under any preset; safe whichever of them is in force. Presets
 * whose cap is below the idle power of the data centre do not count.
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

/** Slots of every endpoint of a data centre under a preset, by default the one in force. */
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

/** Watts above those that the endpoints use when idle; infinite without a cap. */
function computeAvailableWatts(
  endpoints: readonly EndpointConfiguration[],
  preset: PresetConfiguration,
  dataCentre: string,
): number {
  const cap = preset.caps.find((entry) => entry.data_centre === dataCentre);
  if (cap === undefined) return Infinity;
  return cap.watts - endpoints.reduce((sum, entry) => sum + entry.idle_watts, 0);
}

/** Gives slots round robin by name until the watts are used up. */
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
