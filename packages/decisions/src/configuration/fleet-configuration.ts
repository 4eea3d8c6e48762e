/**
 * The fleet configuration: the one document that operators publish through the configuration
 * service. It is checked as a whole; a document with any problem is refused whole.
 */
import { z } from 'zod';
import {
  DEFAULT_OBJECTIVES,
  mergeObjectives,
  objectiveOverridesSchema,
  objectivesSchema,
} from '../burn/service-objectives.ts';
import type { ServiceObjectives } from '../burn/service-objectives.ts';
import { parseToml } from './toml.ts';

/** What stands behind an endpoint. */
export enum EndpointKind {
  /** A model engine, called by the chat completions protocol. */
  Model = 'model',
  /** A plain HTTP service. */
  Application = 'application',
}

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be lower case letters, digits, . _ -');

const dataCentre = z.strictObject({ name, region: name });

const workspace = z.strictObject({
  name,
  /** Share of capacity, relative to the other workspaces. */
  weight: z.number().positive().default(1),
  /** SHA-256 of each API key, in hexadecimal. */
  key_hashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits')).min(1),
  /** Most requests that may wait in one router. */
  queue_limit: z.int().positive().default(256),
  /** Objectives that differ from the fleet's. */
  objectives: objectiveOverridesSchema.optional(),
});

const onceRule = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/, 'must be an HTTP method in capitals'),
  /** Prefix of the paths to which the rule applies. */
  path: z.string().startsWith('/'),
});

const service = z.strictObject({
  name,
  /** Calls that must not run twice. */
  once: z.array(onceRule).default([]),
});

const model = z.strictObject({ name });

const endpoint = z.strictObject({
  name,
  kind: z.enum(EndpointKind),
  data_centre: name,
  /** Models that a model engine serves. */
  models: z.array(name).default([]),
  /** Service that an application engine serves. */
  service: name.optional(),
  /** Requests that the endpoint runs at once when power allows it. */
  slots: z.int().positive(),
  idle_watts: z.number().nonnegative().default(0),
  watts_per_slot: z.number().nonnegative().default(0),
  /** Whether a model engine checks who gives it orders; one that does not must be local to its sidecar. */
  checks_sender: z.boolean().default(false),
});

const cap = z.strictObject({ data_centre: name, watts: z.number().positive() });

const presetWeight = z.strictObject({ workspace: name, weight: z.number().positive() });

/** What a preset wants a model engine to be; what is left out stays as it is. */
const engineOrders = z.strictObject({
  endpoint: name,
  /** Models that are to be loaded, and no others. */
  models: z.array(name).min(1),
  /** Adapters that are to be loaded, and no others. */
  adapters: z.array(name).default([]),
  version: z.string().min(1).optional(),
  role: z.string().min(1).optional(),
});

const preset = z.strictObject({
  name,
  /** Power cap of each data centre; a data centre without one has no cap. */
  caps: z.array(cap).default([]),
  /** Weights that replace the workspaces' own while the preset is in force. */
  weights: z.array(presetWeight).default([]),
  /** States that model engines are brought to while the preset is in force. */
  engines: z.array(engineOrders).default([]),
});

/** Least settle time, which leaves room for a lease beside the time to shrink. */
const LEAST_SETTLE_MS = 1_000;

const power = z.strictObject({
  /** Time that a revision stays in flight after its successor: budgets grow only after it. */
  settle_ms: z.int().min(LEAST_SETTLE_MS).default(2_000),
  /** Time by which the endpoints' load reports lag at most. */
  load_lag_ms: z.int().positive().default(500),
});

const weightStore = z.strictObject({
  /** Reads a second that the weight store allows to the whole fleet. */
  reads_per_second: z.number().positive().default(1),
  /** Most by which the clocks of two hosts may differ. */
  clock_skew_ms: z.int().nonnegative().default(250),
});

const plannedStop = z.strictObject({
  /** Name of a host or endpoint that is to leave. */
  target: name,
});

const schema = z
  .strictObject({
    revision: z.int().positive(),
    /** Name of the preset in force. */
    preset: name,
    /** SHA-256 of the keys that operators' read-only commands need, in hexadecimal. */
    operator_key_hashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
    /** Service-level objectives of all workspaces. */
    objectives: objectivesSchema.optional(),
    data_centres: z.array(dataCentre).min(1),
    models: z.array(model).default([]),
    services: z.array(service).default([]),
    workspaces: z.array(workspace).min(1),
    endpoints: z.array(endpoint).default([]),
    presets: z.array(preset).min(1),
    power: power.default({ settle_ms: 2_000, load_lag_ms: 500 }),
    weight_store: weightStore.default({ reads_per_second: 1, clock_skew_ms: 250 }),
    planned_stops: z.array(plannedStop).default([]),
  })
  .superRefine(checkReferences);

/** A checked fleet configuration. */
export type FleetConfiguration = z.output<typeof schema>;
export type EndpointConfiguration = FleetConfiguration['endpoints'][number];
export type PresetConfiguration = FleetConfiguration['presets'][number];
export type DesiredEngineState = z.output<typeof engineOrders>;
export type ServiceConfiguration = FleetConfiguration['services'][number];

/** Parses and checks a fleet configuration. Throws `ConfigurationError`. */
export function parseFleetConfiguration(text: string, source: string): FleetConfiguration {
  return parseToml(text, schema, source);
}

/** The preset in force. */
export function findPreset(configuration: FleetConfiguration): PresetConfiguration {
  const found = configuration.presets.find((preset) => preset.name === configuration.preset);
  if (found === undefined) throw new Error(`no preset ${configuration.preset}`);
  return found;
}

/** Weight of a workspace under the preset in force. */
export function findWeight(configuration: FleetConfiguration, workspaceName: string): number {
  const override = findPreset(configuration).weights.find(
    (line) => line.workspace === workspaceName,
  );
  if (override !== undefined) return override.weight;
  return configuration.workspaces.find((line) => line.name === workspaceName)?.weight ?? 1;
}

/** Service-level objectives of a workspace. */
export function findObjectives(
  configuration: FleetConfiguration,
  workspaceName: string,
): ServiceObjectives {
  const found = configuration.workspaces.find((line) => line.name === workspaceName);
  return mergeObjectives(configuration.objectives ?? DEFAULT_OBJECTIVES, found?.objectives);
}

/** Whether a call of an application service must not run twice. */
export function isNonIdempotentCall(
  service: ServiceConfiguration,
  method: string,
  path: string,
): boolean {
  return service.once.some((rule) => rule.method === method && path.startsWith(rule.path));
}

interface Draft {
  preset: string;
  data_centres: { name: string }[];
  models: { name: string }[];
  services: { name: string }[];
  workspaces: { name: string; key_hashes: string[] }[];
  endpoints: z.output<typeof endpoint>[];
  presets: z.output<typeof preset>[];
}

type Context = z.core.$RefinementCtx;

function checkReferences(draft: Draft, context: Context): void {
  for (const list of [
    'data_centres',
    'models',
    'services',
    'workspaces',
    'endpoints',
    'presets',
  ] as const) {
    checkUniqueNames(draft[list], list, context);
  }
  if (!draft.presets.some((line) => line.name === draft.preset)) {
    addProblem(context, ['preset'], `no preset is named ${draft.preset}`);
  }
  draft.endpoints.forEach((line, index) => checkEndpoint(draft, line, index, context));
  draft.presets.forEach((line, index) => checkPreset(draft, line, index, context));
  draft.presets.forEach((line, index) => checkEngines(draft, line, index, context));
  checkUniqueKeys(draft, context);
}

function checkUniqueNames(lines: { name: string }[], list: string, context: Context): void {
  const seen = new Set<string>();
  lines.forEach((line, index) => {
    if (seen.has(line.name))
      addProblem(context, [list, index, 'name'], `duplicate name ${line.name}`);
    seen.add(line.name);
  });
}

function checkUniqueKeys(draft: Draft, context: Context): void {
  const owners = new Map<string, string>();
  draft.workspaces.forEach((line, index) => {
    line.key_hashes.forEach((hash, position) => {
      const owner = owners.get(hash);
      if (owner !== undefined) {
        addProblem(
          context,
          ['workspaces', index, 'key_hashes', position],
          `key is also that of ${owner}`,
        );
      }
      owners.set(hash, line.name);
    });
  });
}

function checkEndpoint(
  draft: Draft,
  line: Draft['endpoints'][number],
  index: number,
  context: Context,
): void {
  const at = (key: string) => ['endpoints', index, key];
  if (!hasName(draft.data_centres, line.data_centre)) {
    addProblem(context, at('data_centre'), `no data centre is named ${line.data_centre}`);
  }
  if (line.kind === EndpointKind.Model && line.models.length === 0) {
    addProblem(context, at('models'), 'a model engine needs at least one model');
  }
  for (const modelName of line.models) {
    if (!hasName(draft.models, modelName))
      addProblem(context, at('models'), `no model is named ${modelName}`);
  }
  if (line.kind !== EndpointKind.Application) return;
  if (line.service === undefined)
    addProblem(context, at('service'), 'an application engine needs a service');
  else if (!hasName(draft.services, line.service)) {
    addProblem(context, at('service'), `no service is named ${line.service}`);
  }
}

function checkPreset(
  draft: Draft,
  line: Draft['presets'][number],
  index: number,
  context: Context,
): void {
  line.caps.forEach((entry, position) => {
    if (hasName(draft.data_centres, entry.data_centre)) return;
    const path = ['presets', index, 'caps', position, 'data_centre'];
    addProblem(context, path, `no data centre is named ${entry.data_centre}`);
  });
  line.weights.forEach((entry, position) => {
    if (hasName(draft.workspaces, entry.workspace)) return;
    const path = ['presets', index, 'weights', position, 'workspace'];
    addProblem(context, path, `no workspace is named ${entry.workspace}`);
  });
}

function checkEngines(
  draft: Draft,
  line: Draft['presets'][number],
  index: number,
  context: Context,
): void {
  const seen = new Set<string>();
  line.engines.forEach((entry, position) => {
    const at = (key: string) => ['presets', index, 'engines', position, key];
    const found = draft.endpoints.find(({ name: known }) => known === entry.endpoint);
    if (found?.kind !== EndpointKind.Model)
      addProblem(context, at('endpoint'), `no model engine is named ${entry.endpoint}`);
    if (seen.has(entry.endpoint))
      addProblem(context, at('endpoint'), `duplicate orders to ${entry.endpoint}`);
    seen.add(entry.endpoint);
    for (const served of found?.models ?? []) {
      if (!entry.models.includes(served))
        addProblem(context, at('models'), `lacks ${served}, which the endpoint serves`);
    }
  });
}

function hasName(lines: { name: string }[], wanted: string): boolean {
  return lines.some((line) => line.name === wanted);
}

function addProblem(context: Context, path: PropertyKey[], message: string): void {
  context.addIssue({ code: 'custom', path, message });
}
