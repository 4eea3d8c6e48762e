/**
 * A caller within a schedule. It sends one request and, where a retry is safe, retries it through the
 * next router, as the operators' documentation advises.
 */
import { setTimeout as pauseMs } from 'node:timers/promises';
import { callApplication, callChat, CallOutcome, buildChatBody } from '@poplarpick/load';
import { expectedAnswer } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';

/** Kinds of requests of a schedule. */
export enum CallKind {
  Chat = 'chat',
  KeyedChat = 'keyed-chat',
  /** An idempotent service call. */
  Lookup = 'lookup',
  /** A non-idempotent service call without an idempotency key. */
  NonIdempotent = 'once',
  KeyedNonIdempotent = 'keyed-once',
}

/** A request of a schedule. */
export interface PlannedCall {
  kind: CallKind;
  /** Business key in the request's body, unique across all schedules. */
  name: string;
  startMs: number;
  outputTokens: number;
  router: number;
  workspace: number;
  /** Idempotency key (UUIDv7) of a keyed call. */
  key: string | undefined;
}

/** Result of one submission of a request. */
export interface Submission {
  router: number;
  outcome: CallOutcome;
  verdict: string | undefined;
  code: string | undefined;
  requestId: string | undefined;
  /** Whether the received part of the answer matches the expected answer to this request. */
  right: boolean;
  /** Run number that the service returned: 1 for the first execution of the request. */
  run: number | undefined;
  abandoned: boolean;
}

/** A request with all its submissions. */
export interface CallRecord {
  call: PlannedCall;
  startedAt: number;
  endedAt: number;
  submissions: Submission[];
}

/** Options of `performCall`. */
export interface PerformCallOptions {
  plan: SitePlan;
  urls: readonly string[];
  signal: AbortSignal;
}

const MAX_SUBMISSIONS = 5;
const CALLER_TIMEOUT_MS = 9_000;
const DEADLINE_MS = 8_000;
const RETRY_PAUSE_MS = 250;

/** Submits a request until it is answered, can't be retried safely or reaches `MAX_SUBMISSIONS`. */
export async function performCall(
  call: PlannedCall,
  options: PerformCallOptions,
): Promise<CallRecord> {
  await pauseMs(call.startMs);
  const startedAt = performance.now();
  const submissions: Submission[] = [];
  while (submissions.length < MAX_SUBMISSIONS) {
    const router = (call.router + submissions.length) % options.urls.length;
    const submission = await submit(call, router, options);
    submissions.push(submission);
    if (!isRetryable(call, submission)) break;
    await pauseMs(RETRY_PAUSE_MS * (0.5 + Math.random()));
  }
  return { call, startedAt, endedAt: performance.now(), submissions };
}

function isRetryable(
  call: PlannedCall,
  { outcome, verdict, code, abandoned }: Submission,
): boolean {
  if (abandoned || outcome === CallOutcome.Complete) return false;
  if (code === 'idempotency_key_expired' || code === 'idempotency_key_conflict') return false;
  if (call.key !== undefined) return true;
  return verdict === 'not-run' || call.kind === CallKind.Lookup || call.kind === CallKind.Chat;
}

async function submit(
  call: PlannedCall,
  router: number,
  options: PerformCallOptions,
): Promise<Submission> {
  const timeout = AbortSignal.timeout(CALLER_TIMEOUT_MS);
  const signal = AbortSignal.any([timeout, options.signal]);
  const headers = {
    'x-request-timeout-ms': String(DEADLINE_MS),
    ...(call.key === undefined ? {} : { 'idempotency-key': call.key }),
  };
  const { workspaces, model } = options.plan;
  const key = workspaces[call.workspace % workspaces.length]?.key ?? '';
  const target = { url: options.urls[router] ?? '', key, headers, signal };
  const isChat = call.kind === CallKind.Chat || call.kind === CallKind.KeyedChat;
  const result = isChat
    ? await submitChat({ ...target, model, prompt: call.name, outputTokens: call.outputTokens })
    : await submitToService(call, target, options.plan);
  return { ...result, router, abandoned: options.signal.aborted };
}

type SubmissionResult = Omit<Submission, 'router' | 'abandoned'>;

async function submitChat(chat: Parameters<typeof callChat>[0]): Promise<SubmissionResult> {
  const { outcome, verdict, code, requestId, text } = await callChat(chat);
  const expected = expectedAnswer(buildChatBody(chat));
  const right = outcome === CallOutcome.Complete ? text === expected : expected.startsWith(text);
  return { outcome, verdict, code, requestId, right, run: undefined };
}

async function submitToService(
  call: PlannedCall,
  common: { url: string; key: string; headers: Record<string, string>; signal: AbortSignal },
  plan: SitePlan,
): Promise<SubmissionResult> {
  const path = call.kind === CallKind.Lookup ? '/lookups' : plan.nonIdempotentPath;
  const body = { key: call.name };
  const result = await callApplication({ ...common, service: plan.service, path, body });
  const { outcome, verdict, code, requestId } = result;
  if (outcome !== CallOutcome.Complete) {
    return { outcome, verdict, code, requestId, right: true, run: undefined };
  }
  const answer = result.body as { key?: string; run?: number };
  return { outcome, verdict, code, requestId, right: answer.key === call.name, run: answer.run };
}
