/**
 * The next order to a model engine: the first step from the state that it shows to the state that the
 * preset in force wants. One order at a time, and none while the engine loads, so each is planned on
 * what the engine shows after the last.
 */
import { findPreset } from '../configuration/fleet-configuration.ts';
import type {
  DesiredEngineState,
  FleetConfiguration,
} from '../configuration/fleet-configuration.ts';

/** What an order asks for. */
export enum EngineAction {
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
  LoadAdapter = 'load-adapter',
  UnloadAdapter = 'unload-adapter',
  SetVersion = 'set-version',
  SetRole = 'set-role',
}

/** State of an engine as it shows it. */
export interface EngineState {
  models: readonly string[];
  adapters: readonly string[];
  version: string;
  role: string;
  /** Highest fencing number that the engine has seen; empty for none. */
  fencing: string;
  loading: boolean;
}

/** An order without its fencing number. */
export interface PlannedOrder {
  action: EngineAction;
  /** Model, adapter, version or role. */
  value: string;
}

/** Orders that read the weight store. */
const WEIGHT_LOADS: ReadonlySet<EngineAction> = new Set([
  EngineAction.LoadModel,
  EngineAction.LoadAdapter,
]);

/** Whether an order makes the engine read the weight store. */
export function isWeightLoad(order: PlannedOrder): boolean {
  return WEIGHT_LOADS.has(order.action);
}

/** What the preset in force wants of an engine; undefined where it says nothing. */
export function findDesiredEngineState(
  configuration: FleetConfiguration,
  endpointName: string,
): DesiredEngineState | undefined {
  return findPreset(configuration).engines.find((entry) => entry.endpoint === endpointName);
}

/** The first step from `state` to `desired`; undefined where there is none, or none now. */
export function planNextOrder(
  desired: DesiredEngineState,
  state: EngineState,
): PlannedOrder | undefined {
  if (state.loading) return undefined;
  return listOrders(desired, state)[0];
}

/** All steps in their order: what is wanted comes before what is no longer wanted goes. */
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

/** An order for each name that `present` lacks. */
function planMissing(
  required: readonly string[],
  present: readonly string[],
  action: EngineAction,
): PlannedOrder[] {
  return required.filter((name) => !present.includes(name)).map((value) => ({ action, value }));
}
