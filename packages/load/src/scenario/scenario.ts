/** Scenario files: what load is sent, and for experiments which fleet takes it and what goes wrong. */
import { z } from 'zod';

/** Faults that an experiment can cause; the load generator itself causes none. */
export enum FaultKind {
  /** A sidecar's process is killed and started again. */
  KillSidecar = 'kill-sidecar',
  /** A router is stopped gracefully and started again. */
  RestartRouter = 'restart-router',
  /** The links to a router go silent for good, while new ones work. */
  HalfOpenLinks = 'half-open-links',
  /** The links to a router are reset. */
  ResetLinks = 'reset-links',
  /** Nothing passes between a router and the sidecars for a while. */
  SilentLinks = 'silent-links',
  /** Everything between a router and the sidecars is late for a while. */
  SlowLinks = 'slow-links',
}

const positive = z.number().positive();
const share = z.number().min(0).max(1);

const fault = z.strictObject({
  at_s: z.number().nonnegative(),
  kind: z.enum(FaultKind),
  /** Which router or sidecar, counted from 0. */
  target: z.int().nonnegative().default(0),
  duration_s: positive.default(2),
});

const workspace = z.strictObject({ name: z.string().min(1), key: z.string().min(1) });

/** Where the load generator sends requests. */
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
  /** Model engines; the site's own number where absent. */
  sidecars: z.int().positive().optional(),
  workspaces: z.int().positive().default(16),
  step_ms: positive.default(10),
});

const load = z.strictObject({
  /** Mean requests a second, over all workspaces. */
  rate: positive,
  duration_s: positive,
  /** Exponent of the Zipf law by which workspaces share the rate; 0 spreads it evenly. */
  workspace_skew: z.number().min(0).default(1),
  /** Share of a workspace's requests that go to its home router. */
  router_affinity: share.default(0.5),
  least_tokens: z.int().positive().default(8),
  most_tokens: z.int().positive().default(160),
  /** Exponent of the Pareto law of answers' lengths; smaller has a heavier tail. */
  tail: positive.default(1.3),
  /** Share of requests that continue a conversation and so share its prompt's prefix. */
  conversation_share: share.default(0.4),
  /** Share of requests that are calls which must not run twice. */
  once_share: share.default(0),
});

/** Load of a scenario. */
export const scenarioSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'must be lower case letters, digits and -'),
  seed: z.int().default(1),
  load,
  target: target.optional(),
  fleet: fleet.optional(),
  faults: z.array(fault).default([]),
});

/** A checked scenario. */
export type Scenario = z.output<typeof scenarioSchema>;
export type ScenarioLoad = Scenario['load'];
export type ScenarioFault = Scenario['faults'][number];
export type ScenarioFleet = NonNullable<Scenario['fleet']>;
