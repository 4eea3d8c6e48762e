/** Compares the outcome of a schedule's requests with the engines' own records. */
import { CallOutcome } from '@poplarpick/load';
import type { Site } from '@poplarpick/stand-ins';
import { FaultKind } from './fault-kind.ts';
import type { FaultSchedule } from './fault-kind.ts';
import { CallKind } from './schedule-caller.ts';
import type { CallRecord, Submission } from './schedule-caller.ts';

/** Counts over the requests of one or more schedules. */
export interface ScheduleTally {
  requests: number;
  /** Submissions of all requests, including retries. */
  submissions: number;
  /** Executions of service calls, by the engines' own records. */
  runs: number;
  /** Non-idempotent requests that ran more than once. */
  doubled: number;
  /**
   * Requests with neither a complete answer nor an explicit failure although no fault hit a router, and
   * service calls with a complete answer that no engine executed.
   */
  lost: number;
  /** Requests with a wrong or truncated answer, or the answer to another request. */
  wrongAnswer: number;
  /** Requests that were reported as not run although they ran. */
  falseNotRun: number;
  /** Requests whose last submission ended with the verdict `may-have-run`. */
  mayHaveRun: number;
  /** Requests in flight during a fault that left all sidecars running and their endpoints reachable. */
  touched: number;
  /** The touched requests whose last submission ended with the verdict `may-have-run`. */
  touchedMayHaveRun: number;
  /** Requests whose last submission received a complete answer. */
  whole: number;
}

const NON_IDEMPOTENT_KINDS = new Set([CallKind.NonIdempotent, CallKind.KeyedNonIdempotent]);
const SERVICE_KINDS = new Set([CallKind.Lookup, ...NON_IDEMPOTENT_KINDS]);

/** Faults that break a caller's connection without an error response. */
const ROUTER_FAULTS = new Set([
  FaultKind.KillRouter,
  FaultKind.PauseRouter,
  FaultKind.LongPauseRouter,
]);

/** Faults after which no process may know the outcome at the endpoint. */
const OUTCOME_LOSS_FAULTS = new Set([
  FaultKind.KillSidecar,
  FaultKind.LongPauseSidecar,
  FaultKind.EndpointCut,
  FaultKind.EndpointReset,
  FaultKind.EndpointHalfOpen,
]);

/** Creates a tally with all counts at 0. */
export function createTally(): ScheduleTally {
  return {
    requests: 0,
    submissions: 0,
    runs: 0,
    doubled: 0,
    lost: 0,
    wrongAnswer: 0,
    falseNotRun: 0,
    mayHaveRun: 0,
    touched: 0,
    touchedMayHaveRun: 0,
    whole: 0,
  };
}

/** Adds the counts of one tally to another. */
export function addTally(total: ScheduleTally, tally: ScheduleTally): void {
  for (const field of Object.keys(total) as (keyof ScheduleTally)[]) total[field] += tally[field];
}

/** Tallies the requests of a schedule; calls `reportProblem` for each problem found. */
export function evaluateSchedule(
  site: Site,
  schedule: FaultSchedule,
  records: readonly CallRecord[],
  reportProblem: (problem: string, record: CallRecord) => void,
): ScheduleTally {
  const tally = createTally();
  const runs = site.countRuns();
  for (const record of records) {
    const count = runs.get(record.call.name) ?? 0;
    const problems = findProblems(site, schedule, record, count);
    problems.forEach((problem) => reportProblem(problem, record));
    addTally(tally, {
      ...createTally(),
      ...countProblems(problems),
      requests: 1,
      submissions: record.submissions.length,
      runs: count,
      mayHaveRun: hasUnknownOutcome(record) ? 1 : 0,
      touched: overlapsSurvivableFault(schedule, record) ? 1 : 0,
      touchedMayHaveRun:
        overlapsSurvivableFault(schedule, record) && hasUnknownOutcome(record) ? 1 : 0,
      whole: record.submissions.at(-1)?.outcome === CallOutcome.Complete ? 1 : 0,
    });
  }
  return tally;
}

type Problem = 'doubled' | 'lost' | 'wrongAnswer' | 'falseNotRun';

function countProblems(problems: readonly Problem[]): Partial<ScheduleTally> {
  return Object.fromEntries(problems.map((problem) => [problem, 1]));
}

function findProblems(
  site: Site,
  schedule: FaultSchedule,
  record: CallRecord,
  runs: number,
): Problem[] {
  const problems: Problem[] = [];
  if (NON_IDEMPOTENT_KINDS.has(record.call.kind) && runs > 1) problems.push('doubled');
  if (isLost(schedule, record, runs)) problems.push('lost');
  if (hasWrongAnswer(record)) problems.push('wrongAnswer');
  if (hasFalseNotRun(site, record, runs)) problems.push('falseNotRun');
  return problems;
}

function isLost(schedule: FaultSchedule, { call, submissions }: CallRecord, runs: number): boolean {
  const last = submissions.at(-1);
  if (last === undefined) return true;
  if (last.outcome === CallOutcome.Complete) return SERVICE_KINDS.has(call.kind) && runs === 0;
  if (last.abandoned || last.verdict !== undefined) return false;
  return !schedule.faults.some(({ kind }) => ROUTER_FAULTS.has(kind));
}

function hasWrongAnswer({ call, submissions }: CallRecord): boolean {
  if (submissions.some(({ right }) => !right)) return true;
  if (!NON_IDEMPOTENT_KINDS.has(call.kind)) return false;
  return submissions.some(({ outcome, run }) => outcome === CallOutcome.Complete && run !== 1);
}

/** Whether a request was reported as not run although an engine recorded its execution. */
function hasFalseNotRun(site: Site, { submissions, call }: CallRecord, runs: number): boolean {
  if (submissions.some((submission) => isFalseNotRun(site, submission))) return true;
  const allNotRun = submissions.every(({ verdict }) => verdict === 'not-run');
  return allNotRun && SERVICE_KINDS.has(call.kind) && runs > 0;
}

function isFalseNotRun(site: Site, { verdict, requestId }: Submission): boolean {
  return verdict === 'not-run' && requestId !== undefined && site.hasRun(requestId);
}

function hasUnknownOutcome({ submissions }: CallRecord): boolean {
  return submissions.at(-1)?.verdict === 'may-have-run';
}

function overlapsSurvivableFault(
  schedule: FaultSchedule,
  { startedAt, endedAt, call }: CallRecord,
): boolean {
  if (schedule.faults.some(({ kind }) => OUTCOME_LOSS_FAULTS.has(kind))) return false;
  const start = startedAt - call.startMs;
  return schedule.faults.some(
    (fault) =>
      start + fault.startMs <= endedAt && startedAt <= start + fault.startMs + fault.durationMs,
  );
}
