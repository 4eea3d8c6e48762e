/** Tells the violations of a day with what surrounded each: tries, runs of engines, and faults. */
import {
  EngineConduct,
  EngineRecordKind,
} from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import type { EngineRecord } from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import type { InjectedFault } from './day-faults.ts';
import type { RequestRecord, Violation } from './request-record.ts';

/** What happened in a day. */
export interface DayOutcome {
  requests: readonly RequestRecord[];
  records: readonly EngineRecord[];
  faults: readonly InjectedFault[];
  violations: readonly Violation[];
}

/** Time before a request in which a fault of its engines still counts as near. */
const NEAR_MS = 4_000;

/** Formats each violation with what surrounded it. */
export function describeViolations(outcome: DayOutcome): string[] {
  return outcome.violations.map((violation) => describeViolation(outcome, violation));
}

/**
 * Counts the violations by kind, by conduct and framing of the last run, by whether the run before was of the same
 * try, and, for a sound run, by the fault that began last at its engine and whether the store was in one.
 */
export function countViolations(outcome: DayOutcome): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const violation of outcome.violations) {
    const key = classify(outcome, violation);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return Object.fromEntries(Object.entries(counts).sort(([, a], [, b]) => b - a));
}

function classify(outcome: DayOutcome, violation: Violation): string {
  const runs = runsOf(outcome, violation.request).filter(({ at }) => at <= violation.at);
  const [run, before] = [runs.at(-1), runs.at(-2)];
  if (run === undefined) return `${violation.kind} | no run`;
  const parts: string[] = [violation.kind, `${run.conduct}/${run.framing}`];
  if (before !== undefined)
    parts.push(before.attempt === run.attempt ? 'within one try' : 'over tries');
  if (run.conduct === EngineConduct.Sound) {
    const near = faultsNear(outcome, violation);
    const here = near.findLast(({ targets }) => targets.includes(run.engine));
    parts.push(here?.kind ?? 'no fault at the engine');
    if (near.some(({ targets }) => targets.includes('store'))) parts.push('store in a fault');
  }
  return parts.join(' | ');
}

function describeViolation(outcome: DayOutcome, violation: Violation): string {
  const request = findRequest(outcome, violation.request);
  const from = request?.tries[0]?.startedAt ?? violation.at;
  const lines = [
    `${violation.kind}: ${violation.request} (${request?.events ?? 0} events) ${violation.detail}`,
    `  at +${violation.at - from} ms, in try ${violation.attempt}, ${new Date(violation.at).toISOString()}`,
  ];
  for (const { attempt, router, after, status, startedAt, endedAt, end } of request?.tries ?? [])
    lines.push(
      `  try ${attempt} at ${router} +${startedAt - from}..${endedAt - from} ms, after ${after}: ${status} ${end}`,
    );
  for (const { kind, at, engine, version, born, attempt, after, conduct, framing } of recordsOf(
    outcome,
    violation.request,
  ))
    lines.push(
      `  engine ${engine} ${version} born ${born} +${at - from} ms: ${kind} ${attempt} after ${after}, ${conduct}, ${framing}`,
    );
  for (const { kind, targets, startedAt, endedAt } of faultsNear(outcome, violation)) {
    const end = endedAt === undefined ? '' : String(endedAt - from);
    lines.push(`  fault ${kind} ${targets.join(' ')} +${startedAt - from}..${end} ms`);
  }
  return lines.join('\n');
}

function findRequest(outcome: DayOutcome, name: string): RequestRecord | undefined {
  return outcome.requests.find((request) => request.name === name);
}

function recordsOf({ records, ...outcome }: DayOutcome, name: string): EngineRecord[] {
  const request = findRequest({ records, ...outcome }, name);
  const attempts = new Set(request?.tries.map(({ attempt }) => attempt));
  return records.filter(({ attempt }) => attempts.has(attempt)).sort((a, b) => a.at - b.at);
}

function runsOf(outcome: DayOutcome, name: string): EngineRecord[] {
  return recordsOf(outcome, name).filter(({ kind }) => kind === EngineRecordKind.Run);
}

/** Faults at the engines and routers of a request, or at the store, that lasted into it or ended shortly before. */
function faultsNear(outcome: DayOutcome, violation: Violation): InjectedFault[] {
  const request = findRequest(outcome, violation.request);
  const from = (request?.tries[0]?.startedAt ?? violation.at) - NEAR_MS;
  const names = new Set(['store', ...(request?.tries.map(({ router }) => router) ?? [])]);
  for (const { engine } of recordsOf(outcome, violation.request)) names.add(engine);
  return outcome.faults.filter(
    ({ startedAt, endedAt, targets }) =>
      startedAt <= violation.at &&
      (endedAt ?? violation.at) >= from &&
      targets.some((target) => names.has(target)),
  );
}

/** How many runs had each conduct; tells whether a day exercised them. */
export function countConducts(records: readonly EngineRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { kind, conduct, after } of records) {
    if (kind !== EngineRecordKind.Run) continue;
    if (conduct === EngineConduct.Sound && after === 0) continue;
    const key = after > 0 ? `take-up, ${conduct}` : conduct;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
