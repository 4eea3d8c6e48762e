/**
 * Slots that an endpoint may use under the power cap of its data centre. The budget follows from the
 * configuration alone, so every process computes the same without talking.
 */
import { findPreset } from '../configuration/fleet-configuration.ts';
import type {
  EndpointConfiguration,
  FleetConfiguration,
} from '../configuration/fleet-configuration.ts';

/** Slots of an endpoint under the preset in force; 0 for one that is not configured. */
export function computeSlotBudget(configuration: FleetConfiguration, endpointName: string): number {
  const endpoint = configuration.endpoints.find((line) => line.name === endpointName);
  if (endpoint === undefined) return 0;
  return allocateSlots(configuration, endpoint.data_centre).get(endpointName) ?? 0;
}

/** Slots of every endpoint of a data centre: round robin by name until the cap is used up. */
export function allocateSlots(
  configuration: FleetConfiguration,
  dataCentre: string,
): Map<string, number> {
  const endpoints = configuration.endpoints
    .filter((line) => line.data_centre === dataCentre)
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  const cap = findPreset(configuration).caps.find((line) => line.data_centre === dataCentre);
  if (cap === undefined) return new Map(endpoints.map((line) => [line.name, line.slots]));
  const idleWatts = endpoints.reduce((sum, line) => sum + line.idle_watts, 0);
  return shareWatts(endpoints, cap.watts - idleWatts);
}

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
