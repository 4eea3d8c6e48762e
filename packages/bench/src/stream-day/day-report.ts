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
 * Counts the violations by kind, by conduct and framing of the run before, by the fault that began last at its
 * engine or router, and by whether the store was in a fault.
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
  const run = runsOf(outcome, violation.request).findLast(({ at }) => at <= violation.at);
  const how = run === undefined ? 'no run' : `${run.conduct}/${run.framing}`;
  if (run !== undefined && run.conduct !== EngineConduct.Sound) return `${violation.kind} | ${how}`;
  const near = faultsNear(outcome, violation);
  const { tries } = findRequest(outcome, violation.request) ?? { tries: [] };
  const places = [run?.engine ?? '', tries.at(-1)?.router ?? ''];
  const isHere = ({ targets }: InjectedFault): boolean =>
    targets.some((target) => places.includes(target));
  const last = near.findLast((fault) => isHere(fault))?.kind ?? 'no fault';
  const store = near.some(({ targets }) => targets.includes('store')) ? ' | store in a fault' : '';
  return `${violation.kind} | ${how} | ${last}${store}`;
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
