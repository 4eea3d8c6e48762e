/**
 * The `admission` command: simulates placement and admission under overload, without processes. It compares
 * the routers' own policy with simpler ones and with an upper bound on the credit of any schedule.
 */
import { parseArgs } from 'node:util';
import { Random } from '@poplarpick/load';
import { RequestOutcome, computeCreditBound, computeCreditReport } from './credit.ts';
import type { EngineParameters } from './engine-model.ts';
import { RouterPolicy } from './router-policy.ts';
import { AffinityOnlyPolicy, LeastInFlightPolicy } from './routing-policy.ts';
import type { RoutingPolicy } from './routing-policy.ts';
import { replay } from './replay.ts';
import { generateArrivals } from './workload.ts';
import type { Arrival, Workload } from './workload.ts';

const SECOND_MS = 1_000;

export const ENGINE_PARAMETERS: EngineParameters = {
  slots: 64,
  baseStepMs: 3.6,
  stepMsPerRequest: 0.08,
  prefillTokensPerMs: 120,
  maxPrefillChunkTokens: 4_096,
  kvCacheTokens: 900_000,
};

/** A mix of long reviews, short answers and classifications, sized for engines of `ENGINE_PARAMETERS`. */
export const WORKLOAD: Workload = {
  workspaces: 16,
  floods: { rateFactor: 7, durationMs: 7_000, intervalMs: 4_000 },
  kinds: [
    {
      name: 'review',
      requestsPerSecond: 30,
      prefixLevels: [
        { prefixes: 1, tokens: 500 },
        { prefixes: 280, tokens: 4_900 },
      ],
      uniqueTokens: 6_600,
      outputTokens: 350,
      objectiveMs: 600,
      deadlineMs: 15_000,
      credit: 4,
      lateCreditShare: 0.3,
    },
    {
      name: 'answer',
      requestsPerSecond: 40,
      prefixLevels: [
        { prefixes: 20, tokens: 120 },
        { prefixes: 150, tokens: 80 },
      ],
      uniqueTokens: 620,
      outputTokens: 280,
      objectiveMs: 350,
      deadlineMs: 12_000,
      credit: 2.1,
      lateCreditShare: 0.3,
    },
    {
      name: 'label',
      requestsPerSecond: 55,
      prefixLevels: [
        { prefixes: 40, tokens: 340 },
        { prefixes: 480, tokens: 230 },
      ],
      uniqueTokens: 1_800,
      outputTokens: 22,
      objectiveMs: 400,
      deadlineMs: 3_000,
      credit: 0.4,
      lateCreditShare: 0.3,
    },
  ],
};

/** Entry of the `admission` command. */
export const admissionCommand = {
  name: 'admission',
  summary:
    'placement and admission at the worst load, replayed  [--seed N] [--seconds N] [--load X] [--engines N] [--tokens-per-engine N] [--routers N] [--deadline-spread X] [--json]',
  run: runAdmission,
};

/** Results of one policy; credit figures are ratios of earned to owed credit. */
export interface PolicyResult {
  policy: string;
  credit: number;
  ofLimit: number;
  worstWorkspaces: number;
  review: number;
  answer: number;
  label: number;
  onTime: number;
  late: number;
  refused: number;
  unfinished: number;
  readAgainShare: number;
}

async function runAdmission(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '40' },
      load: { type: 'string', default: '1' },
      engines: { type: 'string', default: '6' },
      'tokens-per-engine': { type: 'string', default: '60000' },
      routers: { type: 'string', default: '5' },
      'deadline-spread': { type: 'string', default: '0' },
      json: { type: 'boolean', default: false },
    },
  });
  const { rows, limit } = compareAdmission({
    seed: Number(values.seed),
    seconds: Number(values.seconds),
    load: Number(values.load),
    engines: Number(values.engines),
    tokensPerEngine: Number(values['tokens-per-engine']),
    routers: Number(values.routers),
    deadlineSpread: Number(values['deadline-spread']),
  });
  if (!values.json) console.table(rows);
  console.log(JSON.stringify({ limit, rows }));
  return Promise.resolve();
}

/** Options of `compareAdmission`. */
export interface AdmissionComparisonOptions {
  seed: number;
  seconds: number;
  /** Factor on the request rates of the workload. */
  load: number;
  engines: number;
  /** Assumed throughput of one engine, from which the fair shares are computed. */
  tokensPerEngine: number;
  routers: number;
  /** Largest deviation of callers' deadlines from those of their kind, as a fraction. */
  deadlineSpread?: number;
}

/** Replays the same arrivals under each policy. */
export function compareAdmission(options: AdmissionComparisonOptions): {
  rows: PolicyResult[];
  limit: number;
} {
  const { seed, seconds, engines, tokensPerEngine, routers, deadlineSpread = 0 } = options;
  const kinds = WORKLOAD.kinds.map((kind) => ({
    ...kind,
    requestsPerSecond: kind.requestsPerSecond * options.load,
  }));
  const arrivals = generateArrivals(
    { ...WORKLOAD, kinds, deadlineSpread },
    { random: new Random(seed), routers, durationMs: seconds * SECOND_MS },
  );
  const tokensPerSecond = tokensPerEngine * engines;
  const limit = computeCreditBound(arrivals, {
    engines,
    engineParameters: ENGINE_PARAMETERS,
    tokensPerSecond,
  });
  const random = new Random(seed + 1);
  const policies: RoutingPolicy[] = [
    new LeastInFlightPolicy(),
    new AffinityOnlyPolicy(),
    new RouterPolicy({
      routers,
      engines,
      engineParameters: ENGINE_PARAMETERS,
      kinds,
      tokensPerSecond,
      random,
    }),
  ];
  const rows = policies.map((policy) =>
    runPolicy(policy, { arrivals, engines, tokensPerSecond, limit }),
  );
  return { rows, limit: round(limit) };
}

function runPolicy(
  policy: RoutingPolicy,
  run: { arrivals: Arrival[]; engines: number; tokensPerSecond: number; limit: number },
): PolicyResult {
  const { arrivals, engines, tokensPerSecond, limit } = run;
  const result = replay({ arrivals, engines, engineParameters: ENGINE_PARAMETERS, policy });
  const { finished, prefilledTokens, repeatedPrefillTokens } = result;
  const credit = computeCreditReport(finished, tokensPerSecond);
  const count = (wanted: RequestOutcome): number =>
    finished.filter(({ outcome }) => outcome === wanted).length;
  return {
    policy: policy.name,
    credit: round(credit.total),
    ofLimit: round(credit.total / limit),
    worstWorkspaces: round(credit.worstWorkspaces),
    review: round(credit.byKind['review'] ?? 0),
    answer: round(credit.byKind['answer'] ?? 0),
    label: round(credit.byKind['label'] ?? 0),
    onTime: count(RequestOutcome.OnTime),
    late: count(RequestOutcome.Late),
    refused: count(RequestOutcome.Refused),
    unfinished: count(RequestOutcome.Unfinished),
    readAgainShare: round(repeatedPrefillTokens / prefilledTokens),
  };
}

function round(value: number): number {
  return Number(value.toFixed(3));
}
