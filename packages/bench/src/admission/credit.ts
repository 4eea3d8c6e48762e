/**
 * Scores a run by credit: a request on time earns its full credit, a late one a share of it. In each window
 * a workspace is owed credit for its max-min fair share of the pool's tokens; demand beyond that share
 * does not count.
 */
import { findMaxMinLevel, fairShareCost } from '@poplarpick/decisions';
import type { EngineParameters } from './engine-model.ts';
import type { Arrival } from './workload.ts';

export const CREDIT_WINDOW_MS = 4_000;

/**
 * Factors on the credit of a request's kind: a fixed part, a part that grows with the request's size
 * relative to the mean of its kind, and the upper limit of their sum.
 */
const CREDIT_FACTORS = { fixed: 0.3, bySize: 0.7, max: 4 };
const OUTPUT_TOKEN_WEIGHT = 10;

/** How a request ended, for the caller. */
export enum RequestOutcome {
  OnTime = 'on time',
  Late = 'late',
  Refused = 'refused',
  Unfinished = 'unfinished',
}

/** A request and its outcome. */
export interface RequestResult {
  arrival: Arrival;
  outcome: RequestOutcome;
}

/** What became of a request in a replay. */
export interface FinishedRequest extends RequestResult {
  /** Time of its first token, in ms; undefined if it had none. */
  firstTokenAt: number | undefined;
  /** Times at which it was refused, in ms. */
  refusedAt: readonly number[];
}

/** Ratios of earned to owed credit. */
export interface CreditReport {
  total: number;
  byKind: Record<string, number>;
  /** Mean over the eighth of the workspaces with the lowest ratios. */
  worstWorkspaces: number;
}

/** Computes the credit ratios of a run. */
export function computeCreditReport(
  finished: readonly FinishedRequest[],
  tokensPerSecond: number,
): CreditReport {
  const calculator = new CreditCalculator(finished, tokensPerSecond);
  const byWorkspace = [...calculator.earnedRatios(({ workspace }) => workspace).values()];
  const worst = byWorkspace.sort((a, b) => a - b).slice(0, Math.ceil(byWorkspace.length / 8));
  const [total = 0] = calculator.earnedRatios(() => '').values();
  return {
    total,
    byKind: Object.fromEntries(calculator.earnedRatios(({ kind }) => kind.name)),
    worstWorkspaces: worst.reduce((sum, ratio) => sum + ratio, 0) / worst.length,
  };
}

/**
 * Computes an upper bound on the credit ratio of any schedule: it fills engine time with the requests of the
 * most credit per millisecond, as if every shared prefix were cached, nothing had to wait and requests
 * could be split.
 */
export function computeCreditBound(
  arrivals: readonly Arrival[],
  options: { engines: number; engineParameters: EngineParameters; tokensPerSecond: number },
): number {
  const { engines, engineParameters, tokensPerSecond } = options;
  const finished = arrivals.map((arrival) => ({ arrival, outcome: RequestOutcome.OnTime }));
  const calculator = new CreditCalculator(finished, tokensPerSecond);
  const candidates = arrivals.map((arrival) => ({
    window: creditWindowOf(arrival),
    credit: calculator.owedCredit(arrival),
    workMs: minEngineMs(arrival, engineParameters) * calculator.owedFraction(arrival),
  }));
  candidates.sort((a, b) => b.credit / b.workMs - a.credit / a.workMs);
  const usedMsByWindow = new Map<number, number>();
  let earned = 0;
  let owed = 0;
  for (const { window, credit, workMs } of candidates) {
    const msLeft = engines * CREDIT_WINDOW_MS - (usedMsByWindow.get(window) ?? 0);
    const scheduledShare = Math.max(0, Math.min(1, msLeft / workMs));
    usedMsByWindow.set(window, (usedMsByWindow.get(window) ?? 0) + workMs * scheduledShare);
    earned += credit * scheduledShare;
    owed += credit;
  }
  return earned / owed;
}

/** Least engine time of a request, in ms: prefill of its unique tokens, and its share of each step. */
function minEngineMs({ prompt }: Arrival, engineParameters: EngineParameters): number {
  const uniqueTokens = prompt.segments.at(-1)?.tokens ?? 0;
  const stepMs =
    engineParameters.baseStepMs / engineParameters.slots + engineParameters.stepMsPerRequest;
  return uniqueTokens / engineParameters.prefillTokensPerMs + prompt.outputTokens * stepMs;
}

/** Computes the owed and the earned credit of all requests of a run. */
class CreditCalculator {
  private readonly finished: readonly RequestResult[];
  private readonly meanSizes = new Map<string, number>();
  private readonly owedFractions = new Map<string, number>();

  constructor(finished: readonly RequestResult[], tokensPerSecond: number) {
    this.finished = finished;
    this.computeMeanSizes();
    this.computeOwedFractions(tokensPerSecond);
  }

  /** Fraction of its workspace's demand in the window that the workspace is owed. */
  owedFraction(arrival: Arrival): number {
    return this.owedFractions.get(accountKey(arrival)) ?? 1;
  }

  /** Full credit of a request, scaled to the owed fraction of its workspace's demand. */
  owedCredit(arrival: Arrival): number {
    return this.fullCredit(arrival) * this.owedFraction(arrival);
  }

  /** Ratio of earned to owed credit, by key. In each window, a workspace earns at most what it is owed. */
  earnedRatios(keyOf: (arrival: Arrival) => string): Map<string, number> {
    const accounts = new Map<string, { key: string; owed: number; earned: number }>();
    for (const { arrival, outcome } of this.finished) {
      const key = keyOf(arrival);
      const name = `${key} ${accountKey(arrival)}`;
      const account = accounts.get(name) ?? { key, owed: 0, earned: 0 };
      account.owed += this.owedCredit(arrival);
      account.earned += this.fullCredit(arrival) * earnedShare(arrival, outcome);
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

  private fullCredit(arrival: Arrival): number {
    const { kind } = arrival;
    const size = requestSize(arrival) / (this.meanSizes.get(kind.name) ?? 1);
    const { fixed, bySize, max } = CREDIT_FACTORS;
    return kind.credit * Math.min(max, fixed + bySize * size);
  }

  private computeMeanSizes(): void {
    const sums = new Map<string, { size: number; count: number }>();
    for (const { arrival } of this.finished) {
      const sum = sums.get(arrival.kind.name) ?? { size: 0, count: 0 };
      sum.size += requestSize(arrival);
      sum.count += 1;
      sums.set(arrival.kind.name, sum);
    }
    for (const [kind, { size, count }] of sums) this.meanSizes.set(kind, size / count);
  }

  private computeOwedFractions(tokensPerSecond: number): void {
    const demandByWindow = new Map<number, Map<string, number>>();
    for (const { arrival } of this.finished) {
      const window = demandByWindow.get(creditWindowOf(arrival)) ?? new Map<string, number>();
      const account = accountKey(arrival);
      window.set(account, (window.get(account) ?? 0) + fairShareCost(arrival.prompt));
      demandByWindow.set(creditWindowOf(arrival), window);
    }
    const capacityTokens = (tokensPerSecond * CREDIT_WINDOW_MS) / 1_000;
    for (const window of demandByWindow.values()) {
      const level = findMaxMinLevel(window.values(), capacityTokens);
      for (const [account, tokens] of window) {
        this.owedFractions.set(account, Math.min(1, level / tokens));
      }
    }
  }
}

function earnedShare({ kind }: Arrival, outcome: RequestOutcome): number {
  if (outcome === RequestOutcome.OnTime) return 1;
  return outcome === RequestOutcome.Late ? kind.lateCreditShare : 0;
}

function creditWindowOf({ atMs }: Arrival): number {
  return Math.floor(atMs / CREDIT_WINDOW_MS);
}

function accountKey(arrival: Arrival): string {
  return `${creditWindowOf(arrival)} ${arrival.workspace}`;
}

function requestSize({ prompt }: Arrival): number {
  return prompt.inputTokens + OUTPUT_TOKEN_WEIGHT * prompt.outputTokens;
}
