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
  return slotsUnder(configuration, endpointName, findPreset(configuration));
}

/**
 * The fewest slots that an endpoint has under any preset; safe whichever of them is in force. Presets
 * whose cap is below the idle power of the data centre do not count.
 */
export function computeSlotFloor(configuration: FleetConfiguration, endpointName: string): number {
  const endpoint = configuration.endpoints.find((line) => line.name === endpointName);
  if (endpoint === undefined) return 0;
  const peers = configuration.endpoints.filter((line) => line.data_centre === endpoint.data_centre);
  const slots = configuration.presets
    .filter((preset) => wattsForSlots(peers, preset, endpoint.data_centre) >= 0)
    .map((preset) => slotsUnder(configuration, endpointName, preset));
  return slots.length === 0 ? 0 : Math.min(...slots);
}

/** Slots of every endpoint of a data centre under a preset, by default the one in force. */
export function allocateSlots(
  configuration: FleetConfiguration,
  dataCentre: string,
  preset: PresetConfiguration = findPreset(configuration),
): Map<string, number> {
  const endpoints = configuration.endpoints
    .filter((line) => line.data_centre === dataCentre)
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  const applications = endpoints.filter((line) => line.kind === EndpointKind.Application);
  const watts = wattsForSlots(endpoints, preset, dataCentre);
  if (watts < 0) return new Map(endpoints.map((line) => [line.name, 0]));
  const fixed = fixApplicationSlots(configuration.presets, endpoints, dataCentre);
  const used = applications.reduce(
    (sum, line) => sum + line.watts_per_slot * (fixed.get(line.name) ?? 0),
    0,
  );
  const models = endpoints.filter((line) => line.kind !== EndpointKind.Application);
  return new Map([...fixed, ...shareWatts(models, watts - used)]);
}

function slotsUnder(
  configuration: FleetConfiguration,
  endpointName: string,
  preset: PresetConfiguration,
): number {
  const endpoint = configuration.endpoints.find((line) => line.name === endpointName);
  if (endpoint === undefined) return 0;
  return allocateSlots(configuration, endpoint.data_centre, preset).get(endpointName) ?? 0;
}

function fixApplicationSlots(
  presets: readonly PresetConfiguration[],
  endpoints: readonly EndpointConfiguration[],
  dataCentre: string,
): Map<string, number> {
  const shares = presets
    .map((preset) => wattsForSlots(endpoints, preset, dataCentre))
    .filter((watts) => watts >= 0)
    .map((watts) => shareWatts(endpoints, watts));
  const applications = endpoints.filter((line) => line.kind === EndpointKind.Application);
  return new Map(
    applications.map(({ name }) => [
      name,
      Math.min(...shares.map((share) => share.get(name) ?? 0)),
    ]),
  );
}

/** Watts above those that the endpoints use when idle; infinite without a cap. */
function wattsForSlots(
  endpoints: readonly EndpointConfiguration[],
  preset: PresetConfiguration,
  dataCentre: string,
): number {
  const cap = preset.caps.find((line) => line.data_centre === dataCentre);
  if (cap === undefined) return Infinity;
  return cap.watts - endpoints.reduce((sum, line) => sum + line.idle_watts, 0);
}

/** Gives slots round robin by name until the watts are used up. */
function shareWatts(
  endpoints: readonly EndpointConfiguration[],
  watts: number,
): Map<string, number> {
  const slots = new Map(endpoints.map((line) => [line.name, 0]));
  let left = watts;
  for (let given = true; given;) {
    given = false;
    for (const line of endpoints) {
      const held = slots.get(line.name) ?? 0;
      if (held >= line.slots || line.watts_per_slot > left) continue;
      slots.set(line.name, held + 1);
      left -= line.watts_per_slot;
      given = true;
    }
  }
  return slots;
}
