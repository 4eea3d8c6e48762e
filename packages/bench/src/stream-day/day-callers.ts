/**
 * The callers of a day. They send requests on kept connections, pause reading at times, leave at times, and try
 * again at another router as the platform's clients do: what may be repeated after any failure, a broken
 * resumable stream after its last event, anything else only after a promise that it hasn't run.
 */
import { Agent, request as sendRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '@poplarpick/load';
import { DAY_ROUTES } from './day-plan.ts';
import type { DayRoute } from './day-plan.ts';
import type { DayRouter } from './day-router.ts';
import { TryEnd } from './request-record.ts';
import type { RequestRecord, TryRecord, Violation } from './request-record.ts';
import { checkAnswer } from './run-checker.ts';
import { StreamReader } from './stream-reader.ts';

const CALLERS = 12;
const MAX_TRIES = 4;
const LEAVE_SHARE = 0.03;
const MAX_LEAVE_MS = 1_500;
const PAUSE_SHARE = 0.06;
const MAX_PAUSE_MS = 2_200;
const MAX_PAUSE_START_MS = 1_200;
const NEW_CONNECTION_SHARE = 0.4;
const MAX_BODY_BYTES = 3_000;
const DEFAULT_RETRY_MS = 60;
/** Share of the time left for which a caller heeds `Retry-After`. */
const MAX_WAIT_SHARE = 1 / 3;
const MIN_TRY_MS = 100;
const RETRY_STATUSES = new Set([408, 421, 429, 503]);
const HEX = 16;

/** What a caller does with one request, chosen before it is sent. */
interface Manner {
  route: DayRoute;
  events: number;
  caller: number;
  bodyBytes: number;
  isChunked: boolean;
  /** Time until the caller leaves; undefined if it stays. */
  leaveAfterMs: number | undefined;
  pauseAfterMs: number | undefined;
  pauseMs: number;
  newConnections: boolean;
}

/** A request under way. */
interface Sending {
  manner: Manner;
  record: RequestRecord;
  reader: StreamReader;
  deadlineAt: number;
}

/** The callers. */
export class DayCallers {
  readonly requests: RequestRecord[] = [];
  readonly violations: Violation[] = [];
  private readonly routers: readonly DayRouter[];
  private readonly random: Random;
  private readonly agents = Array.from({ length: CALLERS }, () => new Agent({ keepAlive: true }));
  private attempts = 0;

  constructor(routers: readonly DayRouter[], random: Random) {
    this.routers = routers;
    this.random = random;
  }

  /** Sends requests for a while, at a mean rate, and waits until all have ended. */
  async run(durationMs: number, perSecond: number): Promise<void> {
    const endsAt = performance.now() + durationMs;
    const sent: Promise<void>[] = [];
    while (performance.now() < endsAt) {
      sent.push(this.send(this.chooseManner()));
      await sleep(this.random.interarrivalMs(perSecond));
    }
    await Promise.all(sent);
    for (const agent of this.agents) agent.destroy();
  }

  private chooseManner(): Manner {
    const { random } = this;
    const route = pickRoute(random.uniform());
    const events = route.events === 0 ? 0 : 1 + random.integer(2 * route.events - 1);
    const leaves = random.uniform() < LEAVE_SHARE;
    const pauses = random.uniform() < PAUSE_SHARE;
    return {
      route,
      events,
      caller: random.integer(CALLERS),
      bodyBytes: random.integer(MAX_BODY_BYTES),
      isChunked: random.uniform() < 0.5,
      leaveAfterMs: leaves ? random.integer(MAX_LEAVE_MS) : undefined,
      pauseAfterMs: pauses ? random.integer(MAX_PAUSE_START_MS) : undefined,
      pauseMs: random.integer(MAX_PAUSE_MS),
      newConnections: random.uniform() < NEW_CONNECTION_SHARE,
    };
  }

  private async send(manner: Manner): Promise<void> {
    const { route, events } = manner;
    const name = `${route.name}-${this.requests.length}`;
    const isIdempotent = route.kind === 'idempotent';
    const { isResumable } = route;
    const tries: TryRecord[] = [];
    const record = { name, route: route.name, events, isResumable, isIdempotent, tries };
    this.requests.push(record);
    const reader = new StreamReader(record);
    const sending = { manner, record, reader, deadlineAt: performance.now() + route.deadlineMs };
    let router = this.pickRouter();
    while (router !== undefined && tries.length < MAX_TRIES) {
      const outcome = await this.try(sending, router);
      if (outcome.retryAfterMs === undefined) break;
      const leftMs = sending.deadlineAt - performance.now();
      await sleep(Math.max(0, Math.min(outcome.retryAfterMs, leftMs * MAX_WAIT_SHARE)));
      if (sending.deadlineAt - performance.now() < MIN_TRY_MS) break;
      router = this.pickRouter(router);
    }
    this.violations.push(...reader.violations);
  }

  /** Sends a request once; `retryAfterMs` is undefined if the caller doesn't try again. */
  private async try(
    sending: Sending,
    router: DayRouter,
  ): Promise<{ retryAfterMs: number | undefined }> {
    const { record, reader } = sending;
    this.attempts += 1;
    const attempt = this.attempts.toString(HEX).padStart(HEX, '0');
    const startedAt = Date.now();
    const answer: TryRecord = {
      attempt,
      router: router.name,
      after: reader.last,
      startedAt,
      endedAt: startedAt,
      status: 0,
      seal: undefined,
      answeredAttempt: undefined,
      body: '',
      end: TryEnd.Cut,
    };
    record.tries.push(answer);
    reader.beginTry(attempt);
    const response = await this.exchange(sending, router, answer);
    answer.endedAt = Date.now();
    if (isStream(record, answer)) reader.endTry(answer.end);
    this.violations.push(...checkAnswer(record, answer));
    return { retryAfterMs: this.chooseRetry(sending, answer, response) };
  }

  private async exchange(
    { manner, record, reader, deadlineAt }: Sending,
    router: DayRouter,
    answer: TryRecord,
  ): Promise<IncomingMessage | undefined> {
    const isRetry = record.tries.length > 1;
    const body = createBody(manner);
    const headers = this.createHeaders(record, answer, body, manner.isChunked);
    headers['Deadline-Ms'] = String(Math.floor(deadlineAt - performance.now()));
    return new Promise((done) => {
      const request = sendRequest({
        ...router.address,
        method: body === undefined ? 'GET' : 'POST',
        path: `/${record.route}/${record.name}/${record.events}`,
        agent: isRetry && manner.newConnections ? false : this.agents[manner.caller],
        headers,
      });
      let head: IncomingMessage | undefined;
      const timers: NodeJS.Timeout[] = [];
      const finish = (end: TryEnd): void => {
        timers.forEach(clearTimeout);
        if (answer.end !== TryEnd.Left) answer.end = end;
        // A paused answer would keep its connection open.
        if (end !== TryEnd.Whole) request.destroy();
        head?.resume();
        done(head);
      };
      const leave = (): void => {
        answer.end = TryEnd.Left;
        request.destroy();
      };
      if (manner.leaveAfterMs !== undefined && !isRetry)
        timers.push(setTimeout(leave, manner.leaveAfterMs));
      timers.push(setTimeout(leave, deadlineAt - performance.now()));
      request.on('error', () => finish(TryEnd.Cut));
      request.on('response', (response) => {
        head = response;
        readHead(answer, response);
        pauseReading(response, manner, timers);
        response.setEncoding('latin1');
        response.on('data', (text: string) => {
          if (isStream(record, answer)) reader.read(text);
          else answer.body += text;
        });
        response.on('error', () => undefined);
        response.on('close', () => finish(response.complete ? TryEnd.Whole : TryEnd.Cut));
      });
      request.end(body);
    });
  }

  private createHeaders(
    record: RequestRecord,
    { attempt, after }: TryRecord,
    body: string | undefined,
    isChunked: boolean,
  ): Record<string, string> {
    const headers: Record<string, string> = { Host: 'h.example', 'Attempt-Id': attempt };
    if (body !== undefined && isChunked) headers['Transfer-Encoding'] = 'chunked';
    else if (body !== undefined) headers['Content-Length'] = String(body.length);
    const first = record.tries.find(({ status }) => status === 200);
    if (after > 0 && first !== undefined) {
      headers['Last-Event-Id'] = String(after);
      headers['Resumes'] = first.attempt;
    }
    return headers;
  }

  private chooseRetry(
    { record, reader }: Sending,
    { status, end }: TryRecord,
    response: IncomingMessage | undefined,
  ): number | undefined {
    if (end === TryEnd.Left) return undefined;
    if (RETRY_STATUSES.has(status)) {
      const seconds = Number(response?.headers['retry-after']);
      return Number.isNaN(seconds) ? DEFAULT_RETRY_MS : seconds * 1_000;
    }
    if (end === TryEnd.Whole && status < 500) return undefined;
    if (record.isIdempotent) return DEFAULT_RETRY_MS;
    if (record.isResumable && reader.last < record.events) return DEFAULT_RETRY_MS;
    return undefined;
  }

  private pickRouter(before?: DayRouter): DayRouter | undefined {
    const ready = this.routers.filter(({ isInRotation }) => isInRotation);
    const candidates = ready.length > 0 ? ready : this.routers;
    const others = candidates.filter((router) => router !== before);
    return this.random.pick(others.length > 0 ? others : candidates);
  }
}

function pickRoute(draw: number): DayRoute {
  let share = draw;
  for (const route of DAY_ROUTES) {
    if (share < route.share) return route;
    share -= route.share;
  }
  return DAY_ROUTES[0] as DayRoute;
}

function createBody({ route, bodyBytes }: Manner): string | undefined {
  return route.kind === 'idempotent' ? undefined : 'b'.repeat(bodyBytes);
}

function readHead(answer: TryRecord, { statusCode = 0, headers }: IncomingMessage): void {
  answer.status = statusCode;
  answer.seal = headers['response-seal']?.toString();
  answer.answeredAttempt = headers['attempt-id']?.toString();
}

/** Whether an answer is to be read as events: any successful one of a stream, whatever its type. */
function isStream({ events }: RequestRecord, { status }: TryRecord): boolean {
  return events > 0 && status >= 200 && status < 300;
}

function pauseReading(
  response: IncomingMessage,
  { pauseAfterMs, pauseMs }: Manner,
  timers: NodeJS.Timeout[],
): void {
  if (pauseAfterMs === undefined) return;
  const pause = (): void => {
    response.pause();
    timers.push(setTimeout(() => response.resume(), pauseMs));
  };
  timers.push(setTimeout(pause, pauseAfterMs));
}
