/** HTTP client for the operators' interface of processes, and discovery of all processes of a fleet. */
import { request } from 'undici';
import type { RequestTrace } from '@poplarpick/decisions';
import type { ConfigurationDocument, PeerEntry, ServiceLevels } from '@poplarpick/fleet';
import { LARGE_ANSWER_BYTES, readBoundedJson } from '@poplarpick/fleet/bounded-body';

const REQUEST_TIMEOUT_MS = 3_000;
const NOT_FOUND = 404;

/** Maximum number of processes that are queried at the same time. */
const MAX_CONCURRENT_REQUESTS = 32;

/** Status of a process. The sections depend on its role; these are present in every process. */
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

/** Error response of the operators' interface. */
export class OperatorInterfaceError extends Error {
  readonly status: number;

  constructor(status: number) {
    super(status === 401 ? 'the key is not known' : `answered with status ${status}`);
    this.name = 'OperatorInterfaceError';
    this.status = status;
  }
}

/** A process that could not be queried. */
export interface UnreachableProcess {
  url: string;
  reason: string;
}

/** Status of all processes that a crawl found. */
export interface FleetSnapshot {
  statuses: { url: string; status: ProcessStatus }[];
  unreachable: UnreachableProcess[];
}

/** Options of `crawlFleet`. */
export interface CrawlOptions {
  /** Base URLs of the processes at which the crawl starts. */
  seedUrls: readonly string[];
  key: string;
  /** Maximum number of processes that are queried. The seed URLs are always queried. */
  maxProcesses?: number;
}

const DEFAULT_MAX_PROCESSES = 5_000;

/** Fetches the status of the process at a base URL. Rejects if the request fails. */
export async function fetchStatus(url: string, key: string): Promise<ProcessStatus> {
  return (await fetchJson(url, '/v1/status', key)) as ProcessStatus;
}

/** Fetches the configuration that a process currently applies. Rejects if the request fails. */
export async function fetchConfiguration(url: string, key: string): Promise<ConfigurationDocument> {
  return (await fetchJson(url, '/v1/configuration', key)) as ConfigurationDocument;
}

/** Fetches the service levels that a router measured. Rejects if the request fails. */
export async function fetchServiceLevels(url: string, key: string): Promise<ServiceLevels> {
  return (await fetchJson(url, '/v1/burn', key)) as ServiceLevels;
}

/** Fetches the trace of a request from a process; undefined if the process has none. */
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

/**
 * Fetches the status of the processes at the seed URLs and of all processes reachable through their lists
 * of peers, by a breadth-first search.
 */
export async function crawlFleet(options: CrawlOptions): Promise<FleetSnapshot> {
  const maxProcesses = options.maxProcesses ?? DEFAULT_MAX_PROCESSES;
  const seenUrls = new Set(options.seedUrls);
  const snapshot: FleetSnapshot = { statuses: [], unreachable: [] };
  let frontier = [...options.seedUrls];
  while (frontier.length > 0) {
    const peerUrls = await mapConcurrently(frontier, (url) =>
      visitProcess(url, options.key, snapshot),
    );
    const newUrls = peerUrls.flat().filter((url) => !seenUrls.has(url));
    frontier = [...new Set(newUrls)].slice(0, Math.max(0, maxProcesses - seenUrls.size));
    frontier.forEach((url) => seenUrls.add(url));
  }
  return deduplicateProcesses(snapshot);
}

/** Removes duplicates of processes that were reached at more than one address. */
function deduplicateProcesses(snapshot: FleetSnapshot): FleetSnapshot {
  const byIncarnation = new Map(
    snapshot.statuses.map((entry) => [entry.status.process.incarnation, entry] as const),
  );
  return { ...snapshot, statuses: [...byIncarnation.values()] };
}

/** Adds the status of one process to the snapshot and returns the base URLs of its peers. */
async function visitProcess(url: string, key: string, snapshot: FleetSnapshot): Promise<string[]> {
  try {
    const status = await fetchStatus(url, key);
    snapshot.statuses.push({ url, status });
    const peers = (status['peers'] ?? []) as PeerEntry[];
    return peers.flatMap(({ operators }) => (operators === null ? [] : `http://${operators}`));
  } catch (error) {
    snapshot.unreachable.push({ url, reason: describeRequestError(error) });
    return [];
  }
}

/** Maps items asynchronously in batches, to bound the number of concurrent calls. */
export async function mapConcurrently<Item, Result>(
  items: readonly Item[],
  map: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  for (let batchStart = 0; batchStart < items.length; batchStart += MAX_CONCURRENT_REQUESTS) {
    results.push(
      ...(await Promise.all(
        items.slice(batchStart, batchStart + MAX_CONCURRENT_REQUESTS).map(map),
      )),
    );
  }
  return results;
}

/** Describes why a request failed in one line, for operators. */
export function describeRequestError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  if (error.message !== '') return error.message;
  return 'code' in error ? String(error.code) : error.name;
}

async function fetchJson(url: string, path: string, key: string): Promise<unknown> {
  const response = await request(url.replace(/\/$/, '') + path, {
    headers: { authorization: `Bearer ${key}` },
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
  });
  const body = await readBoundedJson(response.body, LARGE_ANSWER_BYTES);
  if (response.statusCode !== 200) throw new OperatorInterfaceError(response.statusCode);
  return body;
}
