/**
 * Plans of complete sites in the sizes that the users run: workspaces with their keys, endpoints, data
 * centres, and the fleet configuration for them. Plain data, for the demo, the tests and the bench.
 */
import { createHash } from 'node:crypto';
import { stringify } from 'smol-toml';
import { EndpointKind } from '@poplarpick/decisions';

/** Site sizes in use today. */
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

/** Description of a site, from which its configuration and its stand-ins are built. */
export interface SitePlan {
  size: SiteSize;
  model: string;
  service: string;
  /** Path of the service's non-idempotent call, which must not be executed twice. */
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

/** Power draw of a stand-in engine when idle, and the extra draw per busy slot. */
export const IDLE_WATTS = 200;
export const WATTS_PER_SLOT = 50;

const DEFAULT_WORKSPACES = 16;
const DEFAULT_SLOTS = 4;
const DEFAULT_QUEUE_LIMIT = 200;
const LARGE_WORKSPACE_WEIGHT = 4;

/** The fixed properties of a site size. */
interface SiteTemplate {
  model: string;
  service: string;
  nonIdempotentPath: string;
  dataCentres: string[];
  modelEngines: number;
  applicationEngines: number;
}

const SITE_TEMPLATES: Record<SiteSize, SiteTemplate> = {
  [SiteSize.Izvor]: {
    model: 'guest-assistant',
    service: 'bookings',
    nonIdempotentPath: '/bookings',
    dataCentres: ['brasov', 'sibiu', 'fagaras'],
    modelEngines: 6,
    applicationEngines: 3,
  },
  [SiteSize.Trinacria]: {
    model: 'remittance',
    service: 'payments',
    nonIdempotentPath: '/runs',
    dataCentres: ['palermo', 'catania', 'enna', 'ragusa'],
    modelEngines: 12,
    applicationEngines: 4,
  },
};

/** Plans a site. The first two workspaces have a larger weight than the others. */
export function planSite(options: SitePlanOptions = {}): SitePlan {
  const size = options.size ?? SiteSize.Izvor;
  const template = SITE_TEMPLATES[size];
  const slots = options.slotsPerEngine ?? DEFAULT_SLOTS;
  const engines = [
    ...planEndpoints(EndpointKind.Model, template.modelEngines, template.dataCentres, slots),
    ...planEndpoints(
      EndpointKind.Application,
      template.applicationEngines,
      template.dataCentres,
      slots,
    ),
  ];
  const count = options.workspaces ?? DEFAULT_WORKSPACES;
  const workspaces = Array.from({ length: count }, (_, index) => ({
    name: `workspace-${String(index + 1).padStart(2, '0')}`,
    key: `key-of-workspace-${index + 1}`,
    weight: index < 2 ? LARGE_WORKSPACE_WEIGHT : 1,
    queueLimit: options.queueLimit ?? DEFAULT_QUEUE_LIMIT,
  }));
  return {
    size,
    model: template.model,
    service: template.service,
    nonIdempotentPath: template.nonIdempotentPath,
    dataCentres: template.dataCentres,
    workspaces,
    endpoints: engines,
    operatorKey: 'key-of-operators',
  };
}

/** State of one model engine that every preset of a revision specifies. */
export interface PlannedEngineState {
  endpoint: string;
  models: string[];
  adapters?: string[];
  version?: string | undefined;
  role?: string | undefined;
}

/** The parts of a site's configuration that can differ between revisions. */
export interface RevisionOptions {
  revision: number;
  preset?: string;
  plannedStops?: string[];
  /** Settle time of a preset switch in milliseconds; the configuration's default if absent. */
  settleMs?: number;
  /** Model engine states that every preset specifies. */
  engineStates?: PlannedEngineState[];
  /** Read limit of the weight store; the configuration's default if absent. */
  weightStoreReadsPerSecond?: number;
}

/** Presets of every planned site. */
export enum SitePreset {
  Ordinary = 'ordinary',
  Peak = 'peak',
  Maintenance = 'maintenance',
}

/** Power cap of each preset, as a fraction of the full power draw of a data centre. */
const POWER_SHARE: Record<SitePreset, number> = {
  [SitePreset.Ordinary]: 0.9,
  [SitePreset.Peak]: 1,
  [SitePreset.Maintenance]: 0.7,
};

/** Renders the configuration document of a site, in TOML. */
export function renderConfiguration(plan: SitePlan, options: RevisionOptions): string {
  return stringify({
    revision: options.revision,
    preset: options.preset ?? SitePreset.Ordinary,
    operator_key_hashes: [hashKey(plan.operatorKey)],
    data_centres: plan.dataCentres.map((name) => ({ name, region: plan.size })),
    models: [{ name: plan.model }],
    services: [{ name: plan.service, once: [{ method: 'POST', path: plan.nonIdempotentPath }] }],
    workspaces: plan.workspaces.map(({ name, key, weight, queueLimit }) => ({
      name,
      weight,
      key_hashes: [hashKey(key)],
      queue_limit: queueLimit,
    })),
    endpoints: plan.endpoints.map((endpoint) => buildEndpointTable(plan, endpoint)),
    presets: Object.values(SitePreset).map((preset) => ({
      name: preset,
      caps: buildPowerCaps(plan, preset),
      ...(options.engineStates === undefined ? {} : { engines: options.engineStates }),
    })),
    ...(options.weightStoreReadsPerSecond === undefined
      ? {}
      : { weight_store: { reads_per_second: options.weightStoreReadsPerSecond } }),
    ...(options.settleMs === undefined ? {} : { power: { settle_ms: options.settleMs } }),
    planned_stops: (options.plannedStops ?? []).map((target) => ({ target })),
  });
}

function buildEndpointTable(plan: SitePlan, endpoint: PlannedEndpoint): Record<string, unknown> {
  const { name, kind, dataCentre, slots } = endpoint;
  const serves = kind === EndpointKind.Model ? { models: [plan.model] } : { service: plan.service };
  const watts = { idle_watts: IDLE_WATTS, watts_per_slot: WATTS_PER_SLOT };
  return { name, kind, data_centre: dataCentre, slots, ...serves, ...watts };
}

function buildPowerCaps(plan: SitePlan, preset: SitePreset) {
  return plan.dataCentres.flatMap((dataCentre) => {
    const endpoints = plan.endpoints.filter((endpoint) => endpoint.dataCentre === dataCentre);
    const fullWatts = endpoints.reduce(
      (sum, endpoint) => sum + IDLE_WATTS + endpoint.slots * WATTS_PER_SLOT,
      0,
    );
    return fullWatts === 0
      ? []
      : [{ data_centre: dataCentre, watts: fullWatts * POWER_SHARE[preset] }];
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

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
