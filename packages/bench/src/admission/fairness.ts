/**
 * Measures in a replay whether workspaces that wait get their part: in any six seconds, a workspace of which a request
 * is refused or late in each second gets at least half of what it asked or what the best served one got, whichever is
 * less, second by second, less three of the largest requests.
 */
import { fairShareCost } from '@poplarpick/decisions';
import { sum } from '@poplarpick/load';
import type { FinishedRequest } from './credit.ts';

const SECOND_MS = 1_000;
const WINDOW_SECONDS = 6;

/** Largest requests that a workspace may lack. */
const ALLOWED_REQUESTS = 3;

/** What a workspace got of its due in one window, in tokens. */
export interface WindowService {
  workspace: string;
  fromSecond: number;
  asked: number;
  got: number;
  /** Tokens that the best served workspace got. */
  best: number;
  /** What it got and the allowance, as a fraction of its due: below 0.5 the rule is broken. */
  ratio: number;
}

/** Tokens of one workspace by second, and the seconds in which it waited. */
interface WorkspaceRecord {
  asked: number[];
  got: number[];
  waited: Set<number>;
}

/** The window in which a waiting workspace got least of its due; undefined if none waited throughout one. */
export function findLeastServed(
  finished: readonly FinishedRequest[],
  seconds: number,
): WindowService | undefined {
  const records = recordWorkspaces(finished, seconds);
  const costs = finished.map(({ arrival }) => fairShareCost(arrival.prompt));
  const allowance = ALLOWED_REQUESTS * Math.max(...costs);
  let least: WindowService | undefined;
  for (let from = 0; from + WINDOW_SECONDS <= seconds; from += 1) {
    for (const service of measureWindow(records, from, allowance)) {
      if (least === undefined || service.ratio < least.ratio) least = service;
    }
  }
  return least;
}

function measureWindow(
  records: ReadonlyMap<string, WorkspaceRecord>,
  fromSecond: number,
  allowance: number,
): WindowService[] {
  const seconds = Array.from({ length: WINDOW_SECONDS }, (_, index) => fromSecond + index);
  const total = (tokens: readonly number[]): number => sumAt(tokens, seconds);
  const best = [...records.values()].reduce((a, b) => (total(b.got) > total(a.got) ? b : a));
  const services: WindowService[] = [];
  for (const [workspace, { asked, got, waited }] of records) {
    if (!seconds.every((second) => waited.has(second))) continue;
    const due = seconds.map((second) => Math.min(asked[second] ?? 0, best.got[second] ?? 0));
    const ratio = (total(got) + allowance) / Math.max(1, sum(due));
    const service = { asked: total(asked), got: total(got), best: total(best.got), ratio };
    services.push({ workspace, fromSecond, ...service });
  }
  return services;
}

function recordWorkspaces(
  finished: readonly FinishedRequest[],
  seconds: number,
): Map<string, WorkspaceRecord> {
  const records = new Map<string, WorkspaceRecord>();
  for (const request of finished) {
    const { arrival, firstTokenAt, refusedAt } = request;
    const record = records.get(arrival.workspace) ?? createRecord(seconds);
    records.set(arrival.workspace, record);
    const cost = fairShareCost(arrival.prompt);
    addAt(record.asked, arrival.atMs, cost);
    if (firstTokenAt !== undefined) addAt(record.got, firstTokenAt, cost);
    for (const at of refusedAt) record.waited.add(Math.floor(at / SECOND_MS));
    const lateFrom = Math.floor((arrival.atMs + arrival.kind.objectiveMs) / SECOND_MS);
    const lateTo = Math.floor((firstTokenAt ?? 0) / SECOND_MS);
    for (let second = lateFrom; second <= lateTo; second += 1) record.waited.add(second);
  }
  return records;
}

function createRecord(seconds: number): WorkspaceRecord {
  const zeros = (): number[] => Array.from({ length: seconds }, () => 0);
  return { asked: zeros(), got: zeros(), waited: new Set() };
}

function addAt(tokens: number[], atMs: number, cost: number): void {
  const second = Math.floor(atMs / SECOND_MS);
  if (second < tokens.length) tokens[second] = (tokens[second] ?? 0) + cost;
}

function sumAt(tokens: readonly number[], seconds: readonly number[]): number {
  return sum(seconds.map((second) => tokens[second] ?? 0));
}
