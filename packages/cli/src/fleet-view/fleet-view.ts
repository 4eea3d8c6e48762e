/** View of the whole fleet, aggregated from the status of its processes. */
import { EndpointKind, findWeight } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { sum } from '@poplarpick/load';
import type { FleetSnapshot, ProcessStatus } from '../operator-client.ts';

/** View of one process. */
export interface HostView {
  host: string;
  role: string;
  dataCentre: string;
  revision: number;
  preset: string | null;
  rssBytes: number;
  /** Control bytes sent and received per second since the previous view; null without one. */
  controlBytesPerSecond: number | null;
  /** Number of peers of the process. */
  links: number;
  /** Number of open requests; null for a process other than a router. */
  open: number | null;
  running: number | null;
  slots: number | null;
  draining: boolean;
}

/** View of one workspace. */
export interface WorkspaceView {
  workspace: string;
  weight: number;
  /** Number of queued requests over all routers. */
  waiting: number;
  /** Fleet-wide cost divided by weight, according to the ledger shards. */
  service: number;
  /** Share of the cost of all workspaces since the previous view, from 0 to 1; null without any cost. */
  share: number | null;
}

/** View of the whole fleet. */
export interface FleetView {
  atMs: number;
  hosts: HostView[];
  unreachable: string[];
  revisions: number[];
  presets: string[];
  workspaces: WorkspaceView[];
  waiting: number;
  running: number;
  slots: number;
  /** Ratio of running requests to slots. */
  utilisation: number;
  /**
   * Largest difference between the weighted service that workspaces received since the previous view, over
   * workspaces backlogged in both views; null for fewer than two such workspaces.
   */
  gap: number | null;
}

interface LinksSection {
  controlBytes?: number;
  receivedControlBytes?: number;
}

interface AdmissionSection {
  slots?: number;
  running?: number;
  draining?: boolean;
}

interface RequestsSection {
  open?: number;
  backlog?: { line?: { workspace?: string }; count?: number }[];
}

interface ServiceSection {
  kind?: string;
  /** Fleet-wide cost divided by weight. */
  workspaces?: { workspace: string; service: number }[];
}

/** Options of `buildFleetView`. */
export interface FleetViewOptions {
  snapshot: FleetSnapshot;
  configuration: FleetConfiguration | undefined;
  /** Previous view, needed for rates, shares and the gap. */
  previous?: FleetView | undefined;
  previousControlBytes?: ReadonlyMap<string, number>;
  nowMs: number;
}

/** Reads the cumulative control bytes of each process, by incarnation. */
export function readControlBytes(snapshot: FleetSnapshot): Map<string, number> {
  return new Map(
    snapshot.statuses.map(({ status }) => {
      const links = (status['links'] ?? {}) as LinksSection;
      const bytes = (links.controlBytes ?? 0) + (links.receivedControlBytes ?? 0);
      return [status.process.incarnation, bytes] as const;
    }),
  );
}

/** Builds the view of the fleet from a snapshot and the previous view. */
export function buildFleetView(options: FleetViewOptions): FleetView {
  const { snapshot, nowMs, previous } = options;
  const hosts = snapshot.statuses
    .map(({ status }) => buildHostView(status, options))
    .sort(compareHosts);
  const running = sum(hosts.map((host) => host.running ?? 0));
  const slots = sum(hosts.map((host) => host.slots ?? 0));
  const workspaces = buildWorkspaceViews(options);
  return {
    atMs: nowMs,
    hosts,
    unreachable: snapshot.unreachable.map(({ url, reason }) => `${url}: ${reason}`),
    revisions: distinct(hosts.map(({ revision }) => revision)),
    presets: distinct(hosts.flatMap(({ preset }) => preset ?? [])),
    workspaces,
    waiting: sum(workspaces.map(({ waiting }) => waiting)),
    running,
    slots,
    utilisation: slots === 0 ? 0 : running / slots,
    gap: previous === undefined ? null : computeGap(previous.workspaces, workspaces),
  };
}

function buildHostView(status: ProcessStatus, options: FleetViewOptions): HostView {
  const { host, role, dataCentre, rssBytes, incarnation } = status.process;
  const admission = status['admission'] as AdmissionSection | undefined;
  const requests = status['requests'] as RequestsSection | undefined;
  return {
    host,
    role,
    dataCentre,
    revision: status.configuration.revision,
    preset: status.configuration.preset,
    rssBytes,
    controlBytesPerSecond: computeControlRate(incarnation, options),
    links: ((status['peers'] ?? []) as unknown[]).length,
    open: requests?.open ?? null,
    running: admission?.running ?? null,
    slots: admission?.slots ?? null,
    draining: admission?.draining ?? false,
  };
}

function computeControlRate(incarnation: string, options: FleetViewOptions): number | null {
  const { previous, previousControlBytes, nowMs, snapshot } = options;
  const previousBytes = previousControlBytes?.get(incarnation);
  const currentBytes = readControlBytes(snapshot).get(incarnation);
  if (previous === undefined || previousBytes === undefined || currentBytes === undefined)
    return null;
  return ((currentBytes - previousBytes) * 1_000) / Math.max(1, nowMs - previous.atMs);
}

function buildWorkspaceViews({
  snapshot,
  configuration,
  previous,
}: FleetViewOptions): WorkspaceView[] {
  const waitingByWorkspace = new Map<string, number>();
  const serviceByWorkspace = new Map<string, number>();
  for (const { status } of snapshot.statuses) {
    addQueueLengths(status, waitingByWorkspace);
    mergeServices(status, serviceByWorkspace);
  }
  const names = new Set([...waitingByWorkspace.keys(), ...serviceByWorkspace.keys()]);
  const previousServices = new Map(
    previous?.workspaces.map((view) => [view.workspace, view.service]),
  );
  const views = [...names].map((workspace) => {
    const weight = configuration === undefined ? 1 : findWeight(configuration, workspace);
    const service = serviceByWorkspace.get(workspace) ?? 0;
    return {
      workspace,
      weight,
      waiting: waitingByWorkspace.get(workspace) ?? 0,
      service,
      share: null,
    };
  });
  const computeCostGrowth = (view: WorkspaceView): number =>
    Math.max(0, view.service - (previousServices.get(view.workspace) ?? view.service)) *
    view.weight;
  const total = sum(views.map(computeCostGrowth));
  return views
    .map((view) => ({ ...view, share: total === 0 ? null : computeCostGrowth(view) / total }))
    .sort((a, b) => b.waiting - a.waiting || (a.workspace < b.workspace ? -1 : 1));
}

function addQueueLengths(status: ProcessStatus, waitingByWorkspace: Map<string, number>): void {
  const requests = status['requests'] as RequestsSection | undefined;
  for (const { line, count } of requests?.backlog ?? []) {
    const workspace = line?.workspace ?? '?';
    waitingByWorkspace.set(workspace, (waitingByWorkspace.get(workspace) ?? 0) + (count ?? 0));
  }
}

/** Merges the service known to a ledger shard. Shards lag behind each other, so the highest value is used. */
function mergeServices(status: ProcessStatus, serviceByWorkspace: Map<string, number>): void {
  const sections = status['service'];
  if (!Array.isArray(sections)) return;
  const model = (sections as ServiceSection[]).find(({ kind }) => kind === EndpointKind.Model);
  for (const { workspace, service } of model?.workspaces ?? [])
    serviceByWorkspace.set(workspace, Math.max(serviceByWorkspace.get(workspace) ?? 0, service));
}

/** Computes the gap between workspaces that were backlogged in both views. */
function computeGap(
  previousViews: readonly WorkspaceView[],
  currentViews: readonly WorkspaceView[],
): number | null {
  const previousByWorkspace = new Map(previousViews.map((view) => [view.workspace, view]));
  const receivedServices = currentViews.flatMap((view) => {
    const previous = previousByWorkspace.get(view.workspace);
    if (previous === undefined || previous.waiting === 0 || view.waiting === 0) return [];
    return view.service - previous.service;
  });
  return receivedServices.length < 2
    ? null
    : Math.max(...receivedServices) - Math.min(...receivedServices);
}

function compareHosts(a: HostView, b: HostView): number {
  if (a.role !== b.role) return a.role < b.role ? -1 : 1;
  return a.host < b.host ? -1 : 1;
}

function distinct<Value extends string | number>(values: readonly Value[]): Value[] {
  return [...new Set(values)].sort();
}
