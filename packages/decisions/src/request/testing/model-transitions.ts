/** What the sidecars and the routers of the model do with a grant, a message, a new link or a lost attempt. */
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss, LossAction } from '../lost-attempt.ts';
import {
  classifyMissingAttempt,
  combineVerdicts,
  endRequest,
  isCurrentAttempt,
  MAX_TRUSTED_GRANT_AGE_MS,
  RequestPhase,
  settleLostAttempt,
} from '../request-state.ts';
import {
  AnswerKind,
  getLink,
  getSidecarInstance,
  RequestKind,
  setExecution,
} from './model-state.ts';
import type { ModelState, ToRouter } from './model-state.ts';

/** Lets a sidecar start what it was granted, or answer from its cache or refuse it by its key. */
export function startOrRefuse(
  kind: RequestKind,
  next: ModelState,
  router: number,
  sidecar: number,
  attempt: number,
): void {
  const incarnation = next.incarnations[sidecar] ?? 0;
  const keyRecord = next.keyRecords[sidecar];
  if (kind !== RequestKind.Keyed || (keyRecord === 'none' && incarnation === 0)) {
    next.runs[router] = (next.runs[router] ?? 0) + 1;
    if (kind === RequestKind.Keyed) next.keyRecords[sidecar] = 'running';
    setExecution(next, router, sidecar, { attempt, ended: false });
    return;
  }
  if (keyRecord === 'none') {
    // The sidecar started after the key was created.
    const refusal = { kind: 'refuse', verdict: Verdict.MayHaveRun, attempt, incarnation } as const;
    getLink(next, router, sidecar).toRouter.push(refusal);
    return;
  }
  setExecution(next, router, sidecar, { attempt, ended: false });
  if (keyRecord === 'ended') endExecution(next, router, sidecar);
}

/** Ends an execution and tells its router. */
export function endExecution(next: ModelState, router: number, sidecar: number): void {
  const execution = next.executions[sidecar]?.[router];
  if (execution?.ended !== false) return;
  execution.ended = true;
  const link = getLink(next, router, sidecar);
  const incarnation = next.incarnations[sidecar] ?? 0;
  if (link.sidecarOpen)
    link.toRouter.push({ kind: 'end', attempt: execution.attempt, incarnation });
}

/** Lets a router handle a message of a sidecar. */
export function receive(
  next: ModelState,
  router: number,
  sidecar: number,
  message: ToRouter,
): void {
  const request = next.requests[router];
  const sender = { host: String(sidecar), incarnation: String(message.incarnation) };
  if (
    request === null ||
    request === undefined ||
    !isCurrentAttempt(request, sender, message.attempt)
  )
    return;
  if (message.kind === 'refuse' && message.verdict === Verdict.NotRun) {
    settle(next, router, AttemptLoss.NeverStarted);
    return;
  }
  next.answers[router] =
    message.kind === 'end' ? AnswerKind.Complete : combineVerdicts(request, message.verdict);
  next.requests[router] = endRequest(request);
}

/** Settles a router's attempt by what the sidecar lists on a new link. */
export function resume(next: ModelState, router: number, sidecar: number): void {
  const request = next.requests[router];
  const execution = next.executions[sidecar]?.[router];
  const sender = getSidecarInstance(next, sidecar);
  const isListed =
    request !== null &&
    request !== undefined &&
    execution !== null &&
    execution !== undefined &&
    isCurrentAttempt(request, sender, execution.attempt);
  if (isListed) {
    const { attempt, ended } = execution;
    const incarnation = next.incarnations[sidecar] ?? 0;
    if (ended) getLink(next, router, sidecar).toRouter.push({ kind: 'end', attempt, incarnation });
    return;
  }
  if (request?.phase !== RequestPhase.Granted || request.sidecar?.host !== sender.host) return;
  const grantAgeMs = next.aged ? MAX_TRUSTED_GRANT_AGE_MS : 0;
  settle(next, router, classifyMissingAttempt(request, { sender, grantAgeMs, expired: false }));
}

/** Settles a lost attempt: the request is queued again or fails. */
export function settle(next: ModelState, router: number, loss: AttemptLoss): void {
  const current = next.requests[router];
  if (current === null || current === undefined) return;
  const { state, decision } = settleLostAttempt(current, loss);
  next.requests[router] = state;
  if (decision.action === LossAction.Fail) next.answers[router] = decision.verdict;
}
