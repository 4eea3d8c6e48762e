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
});

const cap = z.strictObject({ data_centre: name, watts: z.number().positive() });

const presetWeight = z.strictObject({ workspace: name, weight: z.number().positive() });

const preset = z.strictObject({
  name,
  /** Power cap of each data centre; a data centre without one has no cap. */
  caps: z.array(cap).default([]),
  /** Weights that replace the workspaces' own while the preset is in force. */
  weights: z.array(presetWeight).default([]),
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
    planned_stops: z.array(plannedStop).default([]),
  })
  .superRefine(checkReferences);

/** A checked fleet configuration. */
export type FleetConfiguration = z.output<typeof schema>;
export type WorkspaceConfiguration = FleetConfiguration['workspaces'][number];
export type EndpointConfiguration = FleetConfiguration['endpoints'][number];
export type PresetConfiguration = FleetConfiguration['presets'][number];
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
export function isOnceCall(service: ServiceConfiguration, method: string, path: string): boolean {
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

function hasName(lines: { name: string }[], wanted: string): boolean {
  return lines.some((line) => line.name === wanted);
}

function addProblem(context: Context, path: PropertyKey[], message: string): void {
  context.addIssue({ code: 'custom', path, message });
}
