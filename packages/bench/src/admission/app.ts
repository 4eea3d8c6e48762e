/**
 * The `admission` command: simulates placement and admission under overload, without processes. It compares
 * the routers' own policy with simpler ones and with an upper bound on the credit of any schedule.
 */
import { parseArgs } from 'node:util';
import { RequestOutcome, computeCreditBound, computeCreditReport } from './credit.ts';
import { AffinityOnlyPolicy, LeastInFlightPolicy } from './routing-policy.ts';
import type { RoutingPolicy } from './routing-policy.ts';
import { replay } from './replay.ts';
import { ENGINE_PARAMETERS, prepareReplay } from './simulated-fleet.ts';
import type { LoadOptions } from './simulated-fleet.ts';
import type { Arrival } from './workload.ts';

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
export interface AdmissionComparisonOptions extends LoadOptions {
  engines: number;
  /** Assumed throughput of one engine, from which the fair shares are computed. */
  tokensPerEngine: number;
}

/** Replays the same arrivals under each policy. */
export function compareAdmission(options: AdmissionComparisonOptions): {
  rows: PolicyResult[];
  limit: number;
} {
  const { engines, tokensPerEngine } = options;
  const tokensPerSecond = tokensPerEngine * engines;
  const { arrivals, policy } = prepareReplay({ ...options, tokensPerSecond });
  const limit = computeCreditBound(arrivals, {
    engines,
    engineParameters: ENGINE_PARAMETERS,
    tokensPerSecond,
  });
  const policies: RoutingPolicy[] = [new LeastInFlightPolicy(), new AffinityOnlyPolicy(), policy];
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
