/**
 * Plans the next order to a model engine, which is the first step from its reported state to the state
 * that the preset in force desires. Orders are sent one at a time and none while the engine loads, so
 * each is planned from the state that the engine reports after the previous one.
 */
import { findPreset } from '../configuration/fleet-configuration.ts';
import type {
  DesiredEngineState,
  FleetConfiguration,
} from '../configuration/fleet-configuration.ts';

/** Action that an order requests. */
export enum EngineAction {
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
  LoadAdapter = 'load-adapter',
  UnloadAdapter = 'unload-adapter',
  SetVersion = 'set-version',
  SetRole = 'set-role',
}

/** State of an engine as the engine reports it. */
export interface EngineState {
  models: readonly string[];
  adapters: readonly string[];
  version: string;
  role: string;
  /** Highest fencing token that the engine has seen; empty for none. */
  fencing: string;
  loading: boolean;
}

/** An order without its fencing token. */
export interface PlannedOrder {
  action: EngineAction;
  /** Name of the model or adapter, or the version or role, depending on the action. */
  value: string;
}

/** Actions that make the engine read the weight store. */
const WEIGHT_LOADS: ReadonlySet<EngineAction> = new Set([
  EngineAction.LoadModel,
  EngineAction.LoadAdapter,
]);

/** Whether an order makes the engine read the weight store. */
export function isWeightLoad(order: PlannedOrder): boolean {
  return WEIGHT_LOADS.has(order.action);
}

/** State that the preset in force desires of an engine; undefined if it does not list the engine. */
export function findDesiredEngineState(
  configuration: FleetConfiguration,
  endpointName: string,
): DesiredEngineState | undefined {
  return findPreset(configuration).engines.find((entry) => entry.endpoint === endpointName);
}

/** The first order from `state` to `desired`; undefined if nothing differs or the engine is loading. */
export function planNextOrder(
  desired: DesiredEngineState,
  state: EngineState,
): PlannedOrder | undefined {
  if (state.loading) return undefined;
  return listOrders(desired, state)[0];
}

/** All orders in sequence. Loads precede unloads, so the engine gets what it lacks first. */
function listOrders(desired: DesiredEngineState, state: EngineState): PlannedOrder[] {
  const { version, role } = desired;
  return [
    ...(version === undefined || version === state.version
      ? []
      : [{ action: EngineAction.SetVersion, value: version }]),
    ...(role === undefined || role === state.role
      ? []
      : [{ action: EngineAction.SetRole, value: role }]),
    ...planMissing(desired.models, state.models, EngineAction.LoadModel),
    ...planMissing(desired.adapters, state.adapters, EngineAction.LoadAdapter),
    ...planMissing(state.adapters, desired.adapters, EngineAction.UnloadAdapter),
    ...planMissing(state.models, desired.models, EngineAction.UnloadModel),
  ];
}

/** Plans one order for each required name that `present` lacks. */
function planMissing(
  required: readonly string[],
  present: readonly string[],
  action: EngineAction,
): PlannedOrder[] {
  return required.filter((name) => !present.includes(name)).map((value) => ({ action, value }));
}
