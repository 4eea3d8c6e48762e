/** Schema of scenario files: the load, and for experiments also the fleet and the faults to inject. */
import { z } from 'zod';

/** Faults that an experiment can inject; the load generator itself injects none. */
export enum FaultKind {
  /** A sidecar's process is killed and started again. */
  KillSidecar = 'kill-sidecar',
  /** A router is stopped gracefully and started again. */
  RestartRouter = 'restart-router',
  /** The open links to a router stop forwarding for good, while new ones work. */
  HalfOpenLinks = 'half-open-links',
  /** The links to a router are reset. */
  ResetLinks = 'reset-links',
  /** No bytes pass between a router and the sidecars for the duration of the fault. */
  SilentLinks = 'silent-links',
  /** All bytes between a router and the sidecars are delayed for the duration of the fault. */
  SlowLinks = 'slow-links',
}

const positive = z.number().positive();
const share = z.number().min(0).max(1);

const fault = z.strictObject({
  at_s: z.number().nonnegative(),
  kind: z.enum(FaultKind),
  /** Index of the router or sidecar, from 0. */
  target: z.int().nonnegative().default(0),
  duration_s: positive.default(2),
});

const workspace = z.strictObject({ name: z.string().min(1), key: z.string().min(1) });

/** Routers and workspaces that the load generator uses. */
const target = z.strictObject({
  /** Base URLs of routers. */
  routers: z.array(z.url()).min(1),
  model: z.string().min(1),
  workspaces: z.array(workspace).min(1),
});

/** The fleet of an experiment. */
const fleet = z.strictObject({
  site: z.enum(['izvor', 'trinacria']).default('izvor'),
  routers: z.int().positive().default(2),
  /** Number of model engines; the site's default if absent. */
  sidecars: z.int().positive().optional(),
  workspaces: z.int().positive().default(16),
  step_ms: positive.default(10),
});

const load = z.strictObject({
  /** Mean requests per second over all workspaces. */
  rate: positive,
  duration_s: positive,
  /** Exponent of the Zipf distribution of the rate over workspaces; 0 spreads it evenly. */
  workspace_skew: z.number().min(0).default(1),
  /** Probability that a request goes to its workspace's home router; the others choose any router. */
  router_affinity: share.default(0.5),
  least_tokens: z.int().positive().default(8),
  most_tokens: z.int().positive().default(160),
  /** Exponent of the Pareto distribution of answer lengths; a smaller one has a heavier tail. */
  tail: positive.default(1.3),
  /** Fraction of requests that continue a conversation and so share its prompt prefix. */
  conversation_share: share.default(0.4),
  /** Fraction of requests that are non-idempotent calls, which must not be executed twice. */
  once_share: share.default(0),
});

/** A scenario file; `target`, `fleet` and `faults` are optional. */
export const scenarioSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'must be lower case letters, digits and -'),
  seed: z.int().default(1),
  load,
  target: target.optional(),
  fleet: fleet.optional(),
  faults: z.array(fault).default([]),
});

/** A validated scenario with its defaults filled in. */
export type Scenario = z.output<typeof scenarioSchema>;
export type ScenarioLoad = Scenario['load'];
export type ScenarioFault = Scenario['faults'][number];
export type ScenarioFleet = NonNullable<Scenario['fleet']>;
