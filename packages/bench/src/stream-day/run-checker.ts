/** Checks plain answers, and what callers were told against what engines ran. */
import { EngineRecordKind } from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import type { EngineRecord } from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import { parseAnswer } from '@poplarpick/stand-ins/stream-engine/stream-text';
import { TryEnd, ViolationKind } from './request-record.ts';
import type { RequestRecord, TryRecord, Violation } from './request-record.ts';

/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Checks a 2xx answer for its seal and its request, and the body of a plain one, when its try has ended. */
export function checkAnswer(request: RequestRecord, answer: TryRecord): Violation[] {
  if (answer.status < 200 || answer.status >= 300) return [];
  const { attempt, endedAt: at } = answer;
  const create = (kind: ViolationKind, detail: string): Violation => ({
    kind,
    detail,
    request: request.name,
    attempt,
    at,
  });
  const violations: Violation[] = [];
  if (answer.seal === undefined) violations.push(create(ViolationKind.MissingSeal, ''));
  if (answer.answeredAttempt !== attempt)
    violations.push(create(ViolationKind.ForeignAnswer, String(answer.answeredAttempt)));
  if (request.events > 0 || answer.end !== TryEnd.Whole) return violations;
  const mark = parseAnswer(answer.body);
  if (mark === undefined)
    violations.push(create(ViolationKind.ForeignBytes, JSON.stringify(answer.body.slice(0, 80))));
  else if (mark.stream !== request.name)
    violations.push(create(ViolationKind.ForeignAnswer, `the answer to ${mark.stream}`));
  return violations;
}

/** Compares the runs of engines with the requests: at most once, and "not run" is true. */
export function checkRuns(
  requests: readonly RequestRecord[],
  records: readonly EngineRecord[],
): Violation[] {
  const runs = new Map<string, EngineRecord[]>();
  for (const record of records) {
    if (record.kind !== EngineRecordKind.Run) continue;
    runs.set(record.attempt, [...(runs.get(record.attempt) ?? []), record]);
  }
  return requests.flatMap((request) =>
    request.tries.flatMap((answer) => checkTry(request, answer, runs.get(answer.attempt) ?? [])),
  );
}

function checkTry(
  request: RequestRecord,
  { attempt, status, endedAt }: TryRecord,
  runs: readonly EngineRecord[],
): Violation[] {
  const where = runs.map(({ engine, conduct }) => `${engine} (${conduct})`).join(', ');
  const violations: Violation[] = [];
  const create = (kind: ViolationKind, detail: string, at: number): Violation => ({
    kind,
    detail,
    request: request.name,
    attempt,
    at,
  });
  if (NOT_RUN_STATUSES.has(status) && runs.length > 0)
    violations.push(create(ViolationKind.UntrueNotRun, `${status}, ran at ${where}`, endedAt));
  const mayRepeat = request.isIdempotent || request.isResumable;
  if (!mayRepeat && runs.length > 1)
    violations.push(create(ViolationKind.RanTwice, where, runs.at(-1)?.at ?? endedAt));
  return violations;
}
