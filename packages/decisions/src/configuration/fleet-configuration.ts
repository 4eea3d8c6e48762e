/**
 * The fleet configuration, a single TOML document that operators publish through the configuration
 * service. It is validated as a whole, and a document with any problem is refused as a whole.
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

/** Kind of engine that an endpoint serves. */
export enum EndpointKind {
  /** A model engine, called by the chat completions protocol. */
  Model = 'model',
  /** A plain HTTP service. */
  Application = 'application',
}

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be lower case letters, digits, . _ -');

const dataCentreSchema = z.strictObject({ name: nameSchema, region: nameSchema });

const workspaceSchema = z.strictObject({
  name: nameSchema,
  /** Share of capacity, relative to the other workspaces. */
  weight: z.number().positive().default(1),
  /** SHA-256 of each API key, in hexadecimal. */
  key_hashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits')).min(1),
  /** Most requests of the workspace that may be queued in one router. */
  queue_limit: z.int().positive().default(256),
  /** Overrides of the fleet's service-level objectives. */
  objectives: objectiveOverridesSchema.optional(),
});

const onceRuleSchema = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/, 'must be an HTTP method in capitals'),
  /** Prefix of the paths to which the rule applies. */
  path: z.string().startsWith('/'),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  /** Calls that are not idempotent, and so must not run twice. */
  once: z.array(onceRuleSchema).default([]),
});

const modelSchema = z.strictObject({ name: nameSchema });

const endpointSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(EndpointKind),
  data_centre: nameSchema,
  /** Models that a model engine serves. */
  models: z.array(nameSchema).default([]),
  /** Application service that an application engine serves. */
  service: nameSchema.optional(),
  /** Requests that the endpoint runs concurrently if the power cap allows it. */
  slots: z.int().positive(),
  idle_watts: z.number().nonnegative().default(0),
  watts_per_slot: z.number().nonnegative().default(0),
  /** Whether a model engine authenticates the sender of orders; if not, it must be local to its sidecar. */
  checks_sender: z.boolean().default(false),
});

const capSchema = z.strictObject({ data_centre: nameSchema, watts: z.number().positive() });

const presetWeightSchema = z.strictObject({ workspace: nameSchema, weight: z.number().positive() });

/** State that a preset desires of a model engine. An absent version or role is left unchanged. */
const engineStateSchema = z.strictObject({
  endpoint: nameSchema,
  /** The exact set of models to have loaded. */
  models: z.array(nameSchema).min(1),
  /** The exact set of adapters to have loaded. */
  adapters: z.array(nameSchema).default([]),
  version: z.string().min(1).optional(),
  role: z.string().min(1).optional(),
});

const presetSchema = z.strictObject({
  name: nameSchema,
  /** Power caps of data centres; a data centre that is not listed has no cap. */
  caps: z.array(capSchema).default([]),
  /** Weights that override those of the workspaces while the preset is in force. */
  weights: z.array(presetWeightSchema).default([]),
  /** Desired states of model engines while the preset is in force. */
  engines: z.array(engineStateSchema).default([]),
});

/** Shortest settle time; what remains of it after `SHRINK_MARGIN_MS` is the confirmation lease. */
const MIN_SETTLE_MS = 1_000;

const powerSchema = z.strictObject({
  /** Time that a revision stays in flight after its successor arrives; budgets grow only afterwards. */
  settle_ms: z.int().min(MIN_SETTLE_MS).default(2_000),
  /** Upper bound of the age of the endpoints' load reports. */
  load_lag_ms: z.int().positive().default(500),
});

const weightStoreSchema = z.strictObject({
  /** Reads per second that the weight store allows to the whole fleet. */
  reads_per_second: z.number().positive().default(1),
  /** Largest difference between the clocks of two hosts. */
  clock_skew_ms: z.int().nonnegative().default(250),
});

const plannedStopSchema = z.strictObject({
  /** Name of the host or endpoint to drain. */
  target: nameSchema,
});

const fleetConfigurationSchema = z
  .strictObject({
    revision: z.int().positive(),
    /** Name of the preset in force. */
    preset: nameSchema,
    /** SHA-256 of each key that authorises operators' read-only commands, in hexadecimal. */
    operator_key_hashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
    /** Service-level objectives of all workspaces. */
    objectives: objectivesSchema.optional(),
    data_centres: z.array(dataCentreSchema).min(1),
    models: z.array(modelSchema).default([]),
    services: z.array(serviceSchema).default([]),
    workspaces: z.array(workspaceSchema).min(1),
    endpoints: z.array(endpointSchema).default([]),
    presets: z.array(presetSchema).min(1),
    power: powerSchema.default({ settle_ms: 2_000, load_lag_ms: 500 }),
    weight_store: weightStoreSchema.default({ reads_per_second: 1, clock_skew_ms: 250 }),
    planned_stops: z.array(plannedStopSchema).default([]),
  })
  .superRefine(checkReferences);

/** A validated fleet configuration. */
export type FleetConfiguration = z.output<typeof fleetConfigurationSchema>;
export type EndpointConfiguration = FleetConfiguration['endpoints'][number];
export type PresetConfiguration = FleetConfiguration['presets'][number];
export type DesiredEngineState = z.output<typeof engineStateSchema>;
export type ServiceConfiguration = FleetConfiguration['services'][number];

/** Parses and validates a fleet configuration. Throws `ConfigurationError`. */
export function parseFleetConfiguration(text: string, source: string): FleetConfiguration {
  return parseToml(text, fleetConfigurationSchema, source);
}

/** The preset in force. */
export function findPreset(configuration: FleetConfiguration): PresetConfiguration {
  const preset = configuration.presets.find((entry) => entry.name === configuration.preset);
  if (preset === undefined) throw new Error(`no preset ${configuration.preset}`);
  return preset;
}

/** Weight of a workspace under the preset in force. */
export function findWeight(configuration: FleetConfiguration, workspaceName: string): number {
  const override = findPreset(configuration).weights.find(
    (entry) => entry.workspace === workspaceName,
  );
  if (override !== undefined) return override.weight;
  return (
    configuration.workspaces.find((workspace) => workspace.name === workspaceName)?.weight ?? 1
  );
}

/** Service-level objectives of a workspace. */
export function findObjectives(
  configuration: FleetConfiguration,
  workspaceName: string,
): ServiceObjectives {
  const workspace = configuration.workspaces.find((entry) => entry.name === workspaceName);
  return mergeObjectives(configuration.objectives ?? DEFAULT_OBJECTIVES, workspace?.objectives);
}

/** Whether a call to an application service is not idempotent, by the rules of the service. */
export function isNonIdempotentCall(
  service: ServiceConfiguration,
  method: string,
  path: string,
): boolean {
  return service.once.some((rule) => rule.method === method && path.startsWith(rule.path));
}

/** A configuration whose fields are valid, but whose names and references are not checked yet. */
interface ConfigurationDraft {
  preset: string;
  data_centres: { name: string }[];
  models: { name: string }[];
  services: { name: string }[];
  workspaces: { name: string; key_hashes: string[] }[];
  endpoints: z.output<typeof endpointSchema>[];
  presets: z.output<typeof presetSchema>[];
}

type RefinementContext = z.core.$RefinementCtx;

function checkReferences(draft: ConfigurationDraft, context: RefinementContext): void {
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
  if (!draft.presets.some((preset) => preset.name === draft.preset)) {
    addProblem(context, ['preset'], `no preset is named ${draft.preset}`);
  }
  draft.endpoints.forEach((endpoint, index) => checkEndpoint(draft, endpoint, index, context));
  draft.presets.forEach((preset, index) => checkPreset(draft, preset, index, context));
  draft.presets.forEach((preset, index) => checkEngines(draft, preset, index, context));
  checkUniqueKeys(draft, context);
}

function checkUniqueNames(
  entries: { name: string }[],
  list: string,
  context: RefinementContext,
): void {
  const seenNames = new Set<string>();
  entries.forEach((entry, index) => {
    if (seenNames.has(entry.name))
      addProblem(context, [list, index, 'name'], `duplicate name ${entry.name}`);
    seenNames.add(entry.name);
  });
}

function checkUniqueKeys(draft: ConfigurationDraft, context: RefinementContext): void {
  const ownersByHash = new Map<string, string>();
  draft.workspaces.forEach((workspace, index) => {
    workspace.key_hashes.forEach((hash, position) => {
      const ownerName = ownersByHash.get(hash);
      if (ownerName !== undefined) {
        addProblem(
          context,
          ['workspaces', index, 'key_hashes', position],
          `key is also that of ${ownerName}`,
        );
      }
      ownersByHash.set(hash, workspace.name);
    });
  });
}

function checkEndpoint(
  draft: ConfigurationDraft,
  endpoint: ConfigurationDraft['endpoints'][number],
  index: number,
  context: RefinementContext,
): void {
  const pathTo = (key: string) => ['endpoints', index, key];
  if (!hasName(draft.data_centres, endpoint.data_centre)) {
    addProblem(context, pathTo('data_centre'), `no data centre is named ${endpoint.data_centre}`);
  }
  if (endpoint.kind === EndpointKind.Model && endpoint.models.length === 0) {
    addProblem(context, pathTo('models'), 'a model engine needs at least one model');
  }
  for (const modelName of endpoint.models) {
    if (!hasName(draft.models, modelName))
      addProblem(context, pathTo('models'), `no model is named ${modelName}`);
  }
  if (endpoint.kind !== EndpointKind.Application) return;
  if (endpoint.service === undefined)
    addProblem(context, pathTo('service'), 'an application engine needs a service');
  else if (!hasName(draft.services, endpoint.service)) {
    addProblem(context, pathTo('service'), `no service is named ${endpoint.service}`);
  }
}

function checkPreset(
  draft: ConfigurationDraft,
  preset: ConfigurationDraft['presets'][number],
  index: number,
  context: RefinementContext,
): void {
  preset.caps.forEach((entry, position) => {
    if (hasName(draft.data_centres, entry.data_centre)) return;
    const path = ['presets', index, 'caps', position, 'data_centre'];
    addProblem(context, path, `no data centre is named ${entry.data_centre}`);
  });
  preset.weights.forEach((entry, position) => {
    if (hasName(draft.workspaces, entry.workspace)) return;
    const path = ['presets', index, 'weights', position, 'workspace'];
    addProblem(context, path, `no workspace is named ${entry.workspace}`);
  });
}

function checkEngines(
  draft: ConfigurationDraft,
  preset: ConfigurationDraft['presets'][number],
  index: number,
  context: RefinementContext,
): void {
  const seenEndpoints = new Set<string>();
  preset.engines.forEach((entry, position) => {
    const pathTo = (key: string) => ['presets', index, 'engines', position, key];
    const endpoint = draft.endpoints.find(({ name }) => name === entry.endpoint);
    if (endpoint?.kind !== EndpointKind.Model)
      addProblem(context, pathTo('endpoint'), `no model engine is named ${entry.endpoint}`);
    if (seenEndpoints.has(entry.endpoint))
      addProblem(context, pathTo('endpoint'), `duplicate orders to ${entry.endpoint}`);
    seenEndpoints.add(entry.endpoint);
    for (const modelName of endpoint?.models ?? []) {
      if (!entry.models.includes(modelName))
        addProblem(context, pathTo('models'), `lacks ${modelName}, which the endpoint serves`);
    }
  });
}

function hasName(entries: { name: string }[], name: string): boolean {
  return entries.some((entry) => entry.name === name);
}

function addProblem(context: RefinementContext, path: PropertyKey[], message: string): void {
  context.addIssue({ code: 'custom', path, message });
}
