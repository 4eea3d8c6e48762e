/**
 * What callers got, in credit: a request on time earns its worth, a late one a share of it. In each
 * window a workspace is owed its max-min share of the pool's tokens; what it asks beyond is not missed.
 */
import { findMaxMinLevel, fairShareCost } from '@poplarpick/decisions';
import type { EngineParameters } from './engine-model.ts';
import type { Arrival } from './workload.ts';

export const CREDIT_WINDOW_MS = 4_000;

/** Parts of a request's worth that come with it, and with its size against the mean of its kind. */
const WORTH_PARTS = { fixed: 0.3, bySize: 0.7, mostSize: 4 };
const OUTPUT_WEIGHT = 10;

/** How a request ended. */
export enum RequestOutcome {
  OnTime = 'on time',
  Late = 'late',
  Refused = 'refused',
  Unfinished = 'unfinished',
}

/** A request with its end. */
export interface FinishedRequest {
  arrival: Arrival;
  outcome: RequestOutcome;
}

/** Credit earned over credit owed. */
export interface CreditReport {
  total: number;
  byKind: Record<string, number>;
  /** Mean of the worst eighth of the workspaces. */
  worstWorkspaces: number;
}

/** Adds up the credit of a run. */
export function computeCreditReport(
  settled: readonly FinishedRequest[],
  tokensPerSecond: number,
): CreditReport {
  const books = new CreditBooks(settled, tokensPerSecond);
  const byWorkspace = [...books.ratios(({ workspace }) => workspace).values()];
  const worst = byWorkspace.sort((a, b) => a - b).slice(0, Math.ceil(byWorkspace.length / 8));
  const [total = 0] = books.ratios(() => '').values();
  return {
    total,
    byKind: Object.fromEntries(books.ratios(({ kind }) => kind.name)),
    worstWorkspaces: worst.reduce((sum, ratio) => sum + ratio, 0) / worst.length,
  };
}

/**
 * The most credit that any schedule could earn, as a ratio: engine time is filled with the requests that
 * earn most for it, all shared parts kept, nothing waits, and requests may be cut in parts.
 */
export function computeCreditBound(
  arrivals: readonly Arrival[],
  options: { engines: number; engineParameters: EngineParameters; tokensPerSecond: number },
): number {
  const { engines, engineParameters, tokensPerSecond } = options;
  const settled = arrivals.map((arrival) => ({ arrival, outcome: RequestOutcome.OnTime }));
  const books = new CreditBooks(settled, tokensPerSecond);
  const offers = arrivals.map((arrival) => ({
    window: windowOf(arrival),
    credit: books.owedFor(arrival),
    workMs: leastWork(arrival, engineParameters) * books.fraction(arrival),
  }));
  offers.sort((a, b) => b.credit / b.workMs - a.credit / a.workMs);
  const spent = new Map<number, number>();
  let earned = 0;
  let owed = 0;
  for (const { window, credit, workMs } of offers) {
    const left = engines * CREDIT_WINDOW_MS - (spent.get(window) ?? 0);
    const part = Math.max(0, Math.min(1, left / workMs));
    spent.set(window, (spent.get(window) ?? 0) + workMs * part);
    earned += credit * part;
    owed += credit;
  }
  return earned / owed;
}

/** Engine time that a request takes at least, in ms: its own tokens, and its slot in each step. */
function leastWork({ prompt }: Arrival, shape: EngineParameters): number {
  const own = prompt.segments.at(-1)?.tokens ?? 0;
  const stepMs = shape.baseStepMs / shape.slots + shape.stepMsPerRequest;
  return own / shape.prefillTokensPerMs + prompt.outputTokens * stepMs;
}

/** Worths, shares and earnings of all requests. */
class CreditBooks {
  private readonly settled: readonly FinishedRequest[];
  private readonly meanSizes = new Map<string, number>();
  private readonly fractions = new Map<string, number>();

  constructor(settled: readonly FinishedRequest[], tokensPerSecond: number) {
    this.settled = settled;
    this.measureSizes();
    this.measureFractions(tokensPerSecond);
  }

  /** Part of what a workspace asked in a window that it is owed. */
  fraction(arrival: Arrival): number {
    return this.fractions.get(accountOf(arrival)) ?? 1;
  }

  /** Credit that a request on time is owed. */
  owedFor(arrival: Arrival): number {
    return this.worthOf(arrival) * this.fraction(arrival);
  }

  /** Earned over owed credit by a key; each workspace's window is capped at what it is owed. */
  ratios(keyOf: (arrival: Arrival) => string): Map<string, number> {
    const accounts = new Map<string, { key: string; owed: number; earned: number }>();
    for (const { arrival, outcome } of this.settled) {
      const key = keyOf(arrival);
      const name = `${key} ${accountOf(arrival)}`;
      const account = accounts.get(name) ?? { key, owed: 0, earned: 0 };
      account.owed += this.owedFor(arrival);
      account.earned += this.worthOf(arrival) * earnedShare(arrival, outcome);
      accounts.set(name, account);
    }
    const totals = new Map<string, { owed: number; earned: number }>();
    for (const { key, owed, earned } of accounts.values()) {
      const total = totals.get(key) ?? { owed: 0, earned: 0 };
      total.owed += owed;
      total.earned += Math.min(owed, earned);
      totals.set(key, total);
    }
    return new Map([...totals].map(([key, { owed, earned }]) => [key, earned / owed]));
  }

  private worthOf(arrival: Arrival): number {
    const { kind } = arrival;
    const size = sizeOf(arrival) / (this.meanSizes.get(kind.name) ?? 1);
    const { fixed, bySize, mostSize } = WORTH_PARTS;
    return kind.credit * Math.min(mostSize, fixed + bySize * size);
  }

  private measureSizes(): void {
    const sums = new Map<string, { size: number; count: number }>();
    for (const { arrival } of this.settled) {
      const sum = sums.get(arrival.kind.name) ?? { size: 0, count: 0 };
      sum.size += sizeOf(arrival);
      sum.count += 1;
      sums.set(arrival.kind.name, sum);
    }
    for (const [kind, { size, count }] of sums) this.meanSizes.set(kind, size / count);
  }

  private measureFractions(tokensPerSecond: number): void {
    const asked = new Map<number, Map<string, number>>();
    for (const { arrival } of this.settled) {
      const window = asked.get(windowOf(arrival)) ?? new Map<string, number>();
      const account = accountOf(arrival);
      window.set(account, (window.get(account) ?? 0) + fairShareCost(arrival.prompt));
      asked.set(windowOf(arrival), window);
    }
    const nominal = (tokensPerSecond * CREDIT_WINDOW_MS) / 1_000;
    for (const window of asked.values()) {
      const level = findMaxMinLevel(window.values(), nominal);
      for (const [account, tokens] of window) {
        this.fractions.set(account, Math.min(1, level / tokens));
      }
    }
  }
}

function earnedShare({ kind }: Arrival, ending: RequestOutcome): number {
  if (ending === RequestOutcome.OnTime) return 1;
  return ending === RequestOutcome.Late ? kind.lateCreditShare : 0;
}

function windowOf({ atMs }: Arrival): number {
  return Math.floor(atMs / CREDIT_WINDOW_MS);
}

function accountOf(arrival: Arrival): string {
  return `${windowOf(arrival)} ${arrival.workspace}`;
}

function sizeOf({ prompt }: Arrival): number {
  return prompt.inputTokens + OUTPUT_WEIGHT * prompt.outputTokens;
}
