/**
 * Plans of whole sites at the users' sizes: workspaces with their keys, endpoints, data centres and
 * the fleet configuration that goes with them. Plain data, for the demo, the tests and the bench.
 */
import { createHash } from 'node:crypto';
import { stringify } from 'smol-toml';
import { EndpointKind } from '@poplarpick/decisions';

/** Sizes of today. */
export enum SiteSize {
  Izvor = 'izvor',
  Trinacria = 'trinacria',
}

/** A workspace of a site. */
export interface PlannedWorkspace {
  name: string;
  key: string;
  weight: number;
  queueLimit: number;
}

/** An endpoint of a site. */
export interface PlannedEndpoint {
  name: string;
  kind: EndpointKind;
  dataCentre: string;
  slots: number;
}

/** A site: what its configuration and its stand-ins are made from. */
export interface SitePlan {
  size: SiteSize;
  model: string;
  service: string;
  /** Path of the service's call that must not run twice. */
  nonIdempotentPath: string;
  dataCentres: string[];
  workspaces: PlannedWorkspace[];
  endpoints: PlannedEndpoint[];
  operatorKey: string;
}

/** Options of `planSite`. */
export interface SitePlanOptions {
  size?: SiteSize;
  workspaces?: number;
  slotsPerEngine?: number;
  queueLimit?: number;
}

/** Power of a stand-in engine. */
export const IDLE_WATTS = 200;
export const WATTS_PER_SLOT = 50;

const DEFAULT_WORKSPACES = 16;
const DEFAULT_SLOTS = 4;
const DEFAULT_QUEUE_LIMIT = 200;
const LARGE_WEIGHT = 4;

interface Shape {
  model: string;
  service: string;
  oncePath: string;
  dataCentres: string[];
  modelEngines: number;
  applicationEngines: number;
}

const SHAPES: Record<SiteSize, Shape> = {
  [SiteSize.Izvor]: {
    model: 'guest-assistant',
    service: 'bookings',
    oncePath: '/bookings',
    dataCentres: ['brasov', 'sibiu', 'fagaras'],
    modelEngines: 6,
    applicationEngines: 3,
  },
  [SiteSize.Trinacria]: {
    model: 'remittance',
    service: 'payments',
    oncePath: '/runs',
    dataCentres: ['palermo', 'catania', 'enna', 'ragusa'],
    modelEngines: 12,
    applicationEngines: 4,
  },
};

/** Plans a site. The first two workspaces are large ones. */
export function planSite(options: SitePlanOptions = {}): SitePlan {
  const size = options.size ?? SiteSize.Izvor;
  const shape = SHAPES[size];
  const slots = options.slotsPerEngine ?? DEFAULT_SLOTS;
  const engines = [
    ...planEndpoints(EndpointKind.Model, shape.modelEngines, shape.dataCentres, slots),
    ...planEndpoints(EndpointKind.Application, shape.applicationEngines, shape.dataCentres, slots),
  ];
  const count = options.workspaces ?? DEFAULT_WORKSPACES;
  const workspaces = Array.from({ length: count }, (_, index) => ({
    name: `workspace-${String(index + 1).padStart(2, '0')}`,
    key: `key-of-workspace-${index + 1}`,
    weight: index < 2 ? LARGE_WEIGHT : 1,
    queueLimit: options.queueLimit ?? DEFAULT_QUEUE_LIMIT,
  }));
  return {
    size,
    model: shape.model,
    service: shape.service,
    nonIdempotentPath: shape.oncePath,
    dataCentres: shape.dataCentres,
    workspaces,
    endpoints: engines,
    operatorKey: 'key-of-operators',
  };
}

/** What every preset of a revision wants of one model engine. */
export interface PlannedEngineState {
  endpoint: string;
  models: string[];
  adapters?: string[];
  version?: string | undefined;
  role?: string | undefined;
}

/** What may differ between two revisions of a site's configuration. */
export interface RevisionOptions {
  revision: number;
  preset?: string;
  plannedStops?: string[];
  /** Time that a switch takes to settle; the default of the configuration if absent. */
  settleMs?: number;
  /** States that every preset brings model engines to. */
  engineStates?: PlannedEngineState[];
  /** Reads a second of the weight store, where not the default. */
  weightStoreReadsPerSecond?: number;
}

/** Names of the presets of every planned site. */
export enum SitePreset {
  Ordinary = 'ordinary',
  Peak = 'peak',
  Maintenance = 'maintenance',
}

/** Share of the full power of a data centre that each preset allows. */
const POWER_SHARE: Record<SitePreset, number> = {
  [SitePreset.Ordinary]: 0.9,
  [SitePreset.Peak]: 1,
  [SitePreset.Maintenance]: 0.7,
};

/** The published document of a site's configuration, in TOML. */
export function renderConfiguration(plan: SitePlan, options: RevisionOptions): string {
  return stringify({
    revision: options.revision,
    preset: options.preset ?? SitePreset.Ordinary,
    operator_key_hashes: [hash(plan.operatorKey)],
    data_centres: plan.dataCentres.map((name) => ({ name, region: plan.size })),
    models: [{ name: plan.model }],
    services: [{ name: plan.service, once: [{ method: 'POST', path: plan.nonIdempotentPath }] }],
    workspaces: plan.workspaces.map(({ name, key, weight, queueLimit }) => ({
      name,
      weight,
      key_hashes: [hash(key)],
      queue_limit: queueLimit,
    })),
    endpoints: plan.endpoints.map((endpoint) => endpointTable(plan, endpoint)),
    presets: Object.values(SitePreset).map((preset) => ({
      name: preset,
      caps: capsOf(plan, preset),
      ...(options.engineStates === undefined ? {} : { engines: options.engineStates }),
    })),
    ...(options.weightStoreReadsPerSecond === undefined
      ? {}
      : { weight_store: { reads_per_second: options.weightStoreReadsPerSecond } }),
    ...(options.settleMs === undefined ? {} : { power: { settle_ms: options.settleMs } }),
    planned_stops: (options.plannedStops ?? []).map((target) => ({ target })),
  });
}

function endpointTable(plan: SitePlan, endpoint: PlannedEndpoint): Record<string, unknown> {
  const { name, kind, dataCentre, slots } = endpoint;
  const serves = kind === EndpointKind.Model ? { models: [plan.model] } : { service: plan.service };
  const watts = { idle_watts: IDLE_WATTS, watts_per_slot: WATTS_PER_SLOT };
  return { name, kind, data_centre: dataCentre, slots, ...serves, ...watts };
}

function capsOf(plan: SitePlan, preset: SitePreset) {
  return plan.dataCentres.flatMap((dataCentre) => {
    const endpoints = plan.endpoints.filter((line) => line.dataCentre === dataCentre);
    const full = endpoints.reduce((sum, line) => sum + IDLE_WATTS + line.slots * WATTS_PER_SLOT, 0);
    return full === 0 ? [] : [{ data_centre: dataCentre, watts: full * POWER_SHARE[preset] }];
  });
}

function planEndpoints(
  kind: EndpointKind,
  count: number,
  dataCentres: string[],
  slots: number,
): PlannedEndpoint[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${kind}-${index + 1}`,
    kind,
    dataCentre: dataCentres[index % dataCentres.length] ?? '',
    slots,
  }));
}

function hash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
