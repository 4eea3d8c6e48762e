/** Client of the operators' interface of processes. */
import { request } from 'undici';
import type { RequestTrace } from '@poplarpick/decisions';
import type { ConfigurationDocument, PeerEntry, ServiceLevels } from '@poplarpick/fleet';

const TIMEOUT_MS = 3_000;
const NOT_FOUND = 404;

/** Most processes that are asked at the same time. */
const CONCURRENCY = 32;

/** Status of a process; sections beside these depend on its role. */
export interface ProcessStatus extends Record<string, unknown> {
  process: {
    host: string;
    role: string;
    dataCentre: string;
    incarnation: string;
    pid: number;
    rssBytes: number;
  };
  configuration: { revision: number; preset: string | null; refused: unknown };
}

/** The operators' interface answered with an error. */
export class OperatorInterfaceError extends Error {
  readonly status: number;

  constructor(status: number) {
    super(status === 401 ? 'the key is not known' : `answered ${status}`);
    this.name = 'OperatorInterfaceError';
    this.status = status;
  }
}

/** A process that could not be asked. */
export interface UnreachableProcess {
  url: string;
  reason: string;
}

/** All processes that were found. */
export interface FleetSnapshot {
  statuses: { url: string; status: ProcessStatus }[];
  unreachable: UnreachableProcess[];
}

/** Options of `crawlFleet`. */
export interface CrawlOptions {
  /** Base URLs to begin with. */
  seedUrls: readonly string[];
  key: string;
  /** Most processes that are asked. */
  maxProcesses?: number;
}

const DEFAULT_WALK_LIMIT = 5_000;

/** Reads the status of the process at a base URL. Rejects where it cannot be had. */
export async function fetchStatus(url: string, key: string): Promise<ProcessStatus> {
  return (await fetchJson(url, '/v1/status', key)) as ProcessStatus;
}

/** Reads the configuration in force in a process. Rejects where it cannot be had. */
export async function fetchConfiguration(url: string, key: string): Promise<ConfigurationDocument> {
  return (await fetchJson(url, '/v1/configuration', key)) as ConfigurationDocument;
}

/** Reads the service levels that a router gave. Rejects where they cannot be had. */
export async function fetchServiceLevels(url: string, key: string): Promise<ServiceLevels> {
  return (await fetchJson(url, '/v1/burn', key)) as ServiceLevels;
}

/** What a process remembers of a request; undefined where it remembers nothing. */
export async function fetchRequestTrace(
  url: string,
  key: string,
  requestId: string,
): Promise<RequestTrace | undefined> {
  try {
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    return (await fetchJson(url, path, key)) as RequestTrace;
  } catch (error) {
    if (error instanceof OperatorInterfaceError && error.status === NOT_FOUND) return undefined;
    throw error;
  }
}

/** Reads the status of the processes at the given addresses and of all that they lead to. */
export async function crawlFleet(options: CrawlOptions): Promise<FleetSnapshot> {
  const limit = options.maxProcesses ?? DEFAULT_WALK_LIMIT;
  const seen = new Set(options.seedUrls);
  const walk: FleetSnapshot = { statuses: [], unreachable: [] };
  let layer = [...options.seedUrls];
  while (layer.length > 0) {
    const found = await mapConcurrently(layer, (url) => visit(url, options.key, walk));
    const next = found.flat().filter((url) => !seen.has(url));
    layer = [...new Set(next)].slice(0, Math.max(0, limit - seen.size));
    layer.forEach((url) => seen.add(url));
  }
  return dropRepeated(walk);
}

/** A process may be reached by more than one address. */
function dropRepeated(walk: FleetSnapshot): FleetSnapshot {
  const byIncarnation = new Map(
    walk.statuses.map((entry) => [entry.status.process.incarnation, entry] as const),
  );
  return { ...walk, statuses: [...byIncarnation.values()] };
}

/** Notes the status of one process and returns the addresses that it knows. */
async function visit(url: string, key: string, walk: FleetSnapshot): Promise<string[]> {
  try {
    const status = await fetchStatus(url, key);
    walk.statuses.push({ url, status });
    const peers = (status['peers'] ?? []) as PeerEntry[];
    return peers.flatMap(({ operators }) => (operators === null ? [] : `http://${operators}`));
  } catch (error) {
    walk.unreachable.push({ url, reason: describeRequestError(error) });
    return [];
  }
}

/** Maps items with a bounded number of calls at the same time. */
export async function mapConcurrently<Item, Result>(
  items: readonly Item[],
  map: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  for (let start = 0; start < items.length; start += CONCURRENCY) {
    results.push(...(await Promise.all(items.slice(start, start + CONCURRENCY).map(map))));
  }
  return results;
}

/** The reason of a failure, for an operator. */
export function describeRequestError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  if (error.message !== '') return error.message;
  return 'code' in error ? String(error.code) : error.name;
}

async function fetchJson(url: string, path: string, key: string): Promise<unknown> {
  const response = await request(url.replace(/\/$/, '') + path, {
    headers: { authorization: `Bearer ${key}` },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });
  const body = await response.body.json();
  if (response.statusCode !== 200) throw new OperatorInterfaceError(response.statusCode);
  return body;
}
