/** Starts fleets with a given number of processes and measures their control traffic without load. */
import { EndpointKind } from '@poplarpick/decisions';
import { sleep, sum } from '@poplarpick/load';
import { planSite } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type {
  ProcessFleetOptions,
  RouterNode,
  SidecarNode,
} from '../process-fleet/process-fleet.ts';

/** Share of routers among all processes at the design size (940 of 4,240). */
const ROUTER_SHARE = 0.22;
const MIN_ROUTERS = 3;

const MS_PER_SECOND = 1_000;

/** Control traffic that a process sends per second, as a mean over all processes or over one role. */
export interface ControlTrafficRates {
  controlBytesPerNodeSecond: number;
  controlMessagesPerNodeSecond: number;
  routerBytesPerSecond: number;
  sidecarBytesPerSecond: number;
}

/** A router or a sidecar process. */
export type FleetNode = RouterNode | SidecarNode;

interface LinkCounters {
  controlBytes: number;
  controlMessages: number;
}

/** Starts a fleet of `processes` with the same share of routers as the design size. */
export async function startControlFleet(
  processes: number,
  options: ProcessFleetOptions = {},
): Promise<ProcessFleet> {
  const routers = Math.max(MIN_ROUTERS, Math.round(processes * ROUTER_SHARE));
  return ProcessFleet.start({ routers, plan: planSidecars(processes - routers), ...options });
}

/** Lists all processes of a fleet, routers first. */
export function listNodes(fleet: ProcessFleet): FleetNode[] {
  return [...fleet.routers, ...fleet.sidecars];
}

/** Measures the control traffic that the processes send over `seconds`. */
export async function measureControlTraffic(
  fleet: ProcessFleet,
  seconds: number,
): Promise<ControlTrafficRates> {
  const before = await readLinkCounters(fleet);
  await sleep(seconds * MS_PER_SECOND);
  const after = await readLinkCounters(fleet);
  const rates = after.map((link, index) => ({
    bytes: (link.controlBytes - (before[index]?.controlBytes ?? 0)) / seconds,
    messages: (link.controlMessages - (before[index]?.controlMessages ?? 0)) / seconds,
  }));
  const routers = fleet.routers.length;
  return {
    controlBytesPerNodeSecond: computeMean(rates.map(({ bytes }) => bytes)),
    controlMessagesPerNodeSecond: computeMean(rates.map(({ messages }) => messages)),
    routerBytesPerSecond: computeMean(rates.slice(0, routers).map(({ bytes }) => bytes)),
    sidecarBytesPerSecond: computeMean(rates.slice(routers).map(({ bytes }) => bytes)),
  };
}

/**
 * Polls `isDone` until it returns true and returns the elapsed milliseconds. Throws an error that names
 * `condition` after `timeoutMs`.
 */
export async function waitUntil(
  condition: string,
  isDone: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<number> {
  const startedAt = performance.now();
  while (!(await isDone())) {
    if (performance.now() - startedAt > timeoutMs) throw new Error(`${condition}: timed out`);
    await sleep(20);
  }
  return performance.now() - startedAt;
}

/** Returns the nearest-rank percentile of the values, or 0 if there are none. */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

async function readLinkCounters(fleet: ProcessFleet): Promise<LinkCounters[]> {
  const statuses = await Promise.all(
    listNodes(fleet).map((node) => fleet.fetchStatus(node.operatorsAddress)),
  );
  return statuses.map((status) => status['links'] as LinkCounters);
}

function computeMean(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}

function planSidecars(count: number): SitePlan {
  const plan = planSite();
  const endpoints = Array.from({ length: count }, (_, index) => ({
    name: `model-${index + 1}`,
    kind: EndpointKind.Model,
    dataCentre: plan.dataCentres[index % plan.dataCentres.length] ?? '',
    slots: 4,
  }));
  return { ...plan, endpoints };
}
