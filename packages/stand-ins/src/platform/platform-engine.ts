/**
 * Stand-in for an engine of the users' platform. It answers as the platform's documentation specifies
 * and misbehaves as `chooseBehaviour` selects. It records the requests that it executed, so that a
 * test can detect a duplicate execution, or an executed request that was reported as not executed.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { answerCacheList, CacheListAnswer } from './cache-list.ts';

/** How the engine treats a request. */
export enum EngineBehaviour {
  /** Sends a complete answer. */
  CompleteAnswer = 'whole',
  /** Executes the request and resets the connection before answering. */
  ResetBeforeAnswer = 'reset-before-answer',
  /** Resets the connection in the middle of the answer. */
  ResetWithinAnswer = 'reset-within-answer',
  /** Answers without `Content-Length` and resets the connection before the end. */
  UnframedReset = 'unframed-reset',
  /** Answers without `Content-Length` and closes the connection normally. */
  Unframed = 'unframed',
  /** Sends a part of an answer without `Content-Length`, then ends as a killed process does. */
  UnframedEnd = 'unframed-end',
  /** Sends a stream without `Content-Length` or chunks, and closes the connection normally after it. */
  UnframedStream = 'unframed-stream',
  /** Executes the request and answers with status 500. */
  Error = 'error',
  /** Refuses the request with status 503 without executing it. */
  Refuse = 'refuse',
  /** Refuses the request with the attempt id of another request. */
  RefuseWithOtherId = 'refuse-with-other-id',
  /** Refuses the request without an attempt id. */
  RefuseWithoutId = 'refuse-without-id',
  /** Refuses the request without `Content-Length`, and closes the connection normally after a while. */
  UnframedRefusal = 'unframed-refusal',
  /** Refuses the request without `Content-Length`, and resets the connection after a while. */
  UnframedRefusalReset = 'unframed-refusal-reset',
  /**
   * Writes the latest refusal on the connection once more, then executes the request and answers it. Sends a
   * complete answer alone on a connection without a refusal.
   */
  RepeatedRefusal = 'repeated-refusal',
  /** Answers with the attempt id of another request. */
  WrongAttemptId = 'foreign',
  /** Sends bytes that are not an HTTP response. */
  Garbage = 'garbage',
  /** Sends a second, unsolicited answer after the first. */
  ExtraAnswer = 'extra',
  /** Never answers. */
  NoAnswer = 'mute',
}

/** A request that the engine began to execute. */
export interface ExecutedRequest {
  requestId: string;
  method: string;
  target: string;
  headers: IncomingMessage['headers'];
  body: string;
  /** Whether the connection was closed before the answer was complete. */
  wasLeft: boolean;
}

/** A pause within a stream. */
export interface EngineSilence {
  afterEvent: number;
  durationMs: number;
  /** Ends the pause early; it is not ended early by default. */
  endedBy?: Promise<void>;
}

/** Options of a `PlatformEngine`. */
export interface PlatformEngineOptions {
  id: string;
  /** Body of an answer without events; `body` by default. */
  answer?: string;
  /** Number of events of a stream. */
  events?: number;
  /** Pause between two events, in milliseconds. */
  eventPauseMs?: number;
  /** Bytes by which each event is padded; none by default. */
  eventBytes?: number;
  /** Events after which a stream read from the start is reset, within the next event; never by default. */
  resetAfterEvent?: number;
  /** Event after which a stream read from the start pauses once, and for how long; never by default. */
  silence?: EngineSilence;
  /** Prompt segment that crashes the engine shortly after it has begun to answer; none by default. */
  poisonSegment?: string;
  /** Body of requests that crash the engine in the same way; none by default. */
  poisonBody?: string;
  /** Called with each request that is to be run, and whether it crashes the engine. */
  onRequest?: (isPoison: boolean) => void;
  /** Called when the engine has crashed. */
  onCrash?: () => void;
  /** Initial value of `PlatformEngine.born`; none by default. */
  born?: number;
  /** Entries of the list of cached prompts that `GET /v1/kv-list` returns, besides those of the runs. */
  cachedPrompts?: unknown[];
}

/** Request targets that are answered with an event stream. */
const STREAM_TARGET = /^\/(stream|long)\//;

const DEFAULT_EVENTS = 5;
const DEFAULT_PAUSE_MS = 5;

/** Time from the begin of a run to the crash that a poison segment causes, in milliseconds. */
const CRASH_DELAY_MS = 60;

/** HTTP server with the protocol of a platform engine. */
export class PlatformEngine {
  readonly runs: ExecutedRequest[] = [];
  /** Number of requests received, executed or not. */
  arrivals = 0;
  /** Monotonic time of each of them, in milliseconds. */
  readonly arrivedAt: number[] = [];
  /** Value of `Server-Limit` in every response; none by default. */
  namedLimit: string | undefined;
  /** Number of `GET /v1/report` received. */
  reports = 0;
  /** Start of the process, in ms since the Unix epoch, that `GET /v1/report` names; undefined to name none. */
  born: number | undefined;
  /** Whether `GET /v1/report` gets no answer. */
  withholdsReports = false;
  /** Number of the next `GET /v1/report` whose connections are closed after the answer. */
  reportsToClose = 0;
  /** Marks every response with the statement that the engine is about to stop. */
  isLeaving = false;
  /** Chooses the answer to each `GET /v1/kv-list`; the whole list by default. */
  chooseListAnswer: () => CacheListAnswer = () => CacheListAnswer.Whole;
  /** Returns the value of `Retry-After` in a refusal; none by default. */
  chooseRetryAfter: () => string | string[] | undefined = () => undefined;
  /** Awaited before each answer without events. */
  awaitAnswer: () => Promise<void> = () => Promise.resolve();
  chooseBehaviour: (request: IncomingMessage) => EngineBehaviour = () =>
    EngineBehaviour.CompleteAnswer;
  readonly options: PlatformEngineOptions;
  private readonly server: Server;
  /** Port of the latest start; 0 before the first. */
  private port = 0;
  private readonly sockets = new Set<Socket>();
  /** Attempt id of the latest refusal on each connection. */
  private readonly refusedIds = new WeakMap<Socket, string>();

  constructor(options: PlatformEngineOptions) {
    this.options = options;
    this.born = options.born;
    this.server = createServer((request, response) => void this.handleRequest(request, response));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.port = (this.server.address() as AddressInfo).port;
    return this;
  }

  /** Starts again at the same address after `stop`, as another process. */
  async restart(born?: number): Promise<void> {
    this.born = born;
    await this.start();
  }

  /** Ends all connections orderly, as the end of a process does, and accepts no more. */
  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    if (!this.server.listening) return;
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  /** Builds this engine's entry in the metadata store. */
  createStoreEntry(
    service: string,
    overrides: Record<string, unknown> = {},
  ): Record<string, unknown> {
    return {
      service,
      address: this.address,
      zone: 'z',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      seq: 1,
      ...overrides,
    };
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/v1/kv-list') {
      const list = { epoch: 1, next: 1, held: this.listCachedSegments(), born: this.born };
      answerCacheList(response, this.chooseListAnswer(), list);
      return;
    }
    if (request.url === '/v1/report') {
      this.reports += 1;
      if (this.withholdsReports) return;
      if (this.reportsToClose > 0) response.setHeader('Connection', 'close');
      this.reportsToClose = Math.max(0, this.reportsToClose - 1);
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify({ stage: 'both', models: [], busy: false, born: this.born }));
      return;
    }
    this.arrivals += 1;
    this.arrivedAt.push(performance.now());
    if (this.namedLimit !== undefined) response.setHeader('Server-Limit', this.namedLimit);
    if (this.isLeaving) response.setHeader('Server-Leaving', '1');
    const requestId = String(request.headers['attempt-id']);
    const body = await readBody(request);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      response.writeHead(421, { 'Attempt-Id': requestId, 'Instance-Id': this.options.id }).end();
      return;
    }
    const behaviour = this.chooseBehaviour(request);
    if (REFUSALS.has(behaviour)) {
      this.refuse(behaviour, requestId, response);
      return;
    }
    if (UNFRAMED_REFUSALS.has(behaviour)) {
      sendUnframedRefusal(response.socket as Socket, requestId, behaviour);
      return;
    }
    const { method = '', url: target = '', headers } = request;
    const run: ExecutedRequest = { requestId, method, target, headers, body, wasLeft: false };
    this.runs.push(run);
    response.once('close', () => (run.wasLeft = !response.writableFinished));
    const isPoison = this.isPoison(request, body);
    this.options.onRequest?.(isPoison);
    if (behaviour === EngineBehaviour.RepeatedRefusal) this.repeatRefusal(request.socket);
    if (isPoison) {
      await sleep(CRASH_DELAY_MS);
      await this.crash();
      return;
    }
    if (behaviour === EngineBehaviour.UnframedStream) response.useChunkedEncodingByDefault = false;
    if (STREAM_TARGET.test(target) && STREAMS.has(behaviour)) {
      await this.sendStream(request, response);
      return;
    }
    await this.awaitAnswer();
    if (!response.destroyed) this.sendAnswer(behaviour, requestId, response);
  }

  private refuse(behaviour: EngineBehaviour, requestId: string, response: ServerResponse): void {
    if (response.socket !== null) this.refusedIds.set(response.socket, requestId);
    const retryAfter = this.chooseRetryAfter();
    if (retryAfter !== undefined) response.setHeader('Retry-After', retryAfter);
    if (behaviour === EngineBehaviour.Refuse) response.setHeader('Attempt-Id', requestId);
    if (behaviour === EngineBehaviour.RefuseWithOtherId)
      response.setHeader('Attempt-Id', 'another');
    response.writeHead(503, { 'Not-Executed': '1' }).end();
  }

  private repeatRefusal(socket: Socket): void {
    const refusedId = this.refusedIds.get(socket);
    if (refusedId === undefined) return;
    socket.write(
      `HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${refusedId}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  /** Entries of `GET /v1/kv-list`: the segments of the prompts that were run are cached. */
  private listCachedSegments(): unknown[] {
    const segments = new Map<string, unknown>();
    for (const { headers } of this.runs) {
      const model = String(headers.model ?? '');
      for (const segment of String(headers['prompt-prefix'] ?? '').split(',')) {
        const [id = '', tokens] = segment.split(':');
        if (id !== '') segments.set(id, ['', id, Number(tokens), model]);
      }
    }
    return [...(this.options.cachedPrompts ?? []), ...segments.values()];
  }

  private isPoison({ headers }: IncomingMessage, body: string): boolean {
    const { poisonBody, poisonSegment } = this.options;
    if (poisonBody !== undefined && body === poisonBody) return true;
    if (poisonSegment === undefined) return false;
    const segments = String(headers['prompt-prefix'] ?? '').split(',');
    return segments.some((segment) => segment.split(':')[0] === poisonSegment);
  }

  /** Ends all connections and accepts no more. */
  private async crash(): Promise<void> {
    if (!this.server.listening) return;
    const stopped = this.stop();
    this.options.onCrash?.();
    await stopped;
  }

  private async sendStream(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const {
      events = DEFAULT_EVENTS,
      eventPauseMs = DEFAULT_PAUSE_MS,
      resetAfterEvent,
      silence,
      eventBytes = 0,
    } = this.options;
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {
      'Attempt-Id': String(request.headers['attempt-id']),
      'Response-Seal': this.options.id,
      'Content-Type': 'text/event-stream',
    });
    const padding = '.'.repeat(eventBytes);
    for (let id = first; id <= events; id += 1) {
      if (id - 1 === resetAfterEvent && first === 1) {
        response.write(`id: ${id}\ndata: half`);
        await sleep(eventPauseMs);
        request.socket.resetAndDestroy();
        return;
      }
      response.write(`id: ${id}\ndata: event ${id}${padding}\n\n`);
      const isSilent = id === silence?.afterEvent && first === 1;
      await (isSilent ? waitForEnd(silence) : sleep(eventPauseMs));
      if (response.destroyed) return;
    }
    response.end();
  }

  private sendAnswer(
    behaviour: EngineBehaviour,
    requestId: string,
    response: ServerResponse,
  ): void {
    const socket = response.socket as Socket;
    const buildHead = (extra: string): string =>
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\nResponse-Seal: ${this.options.id}\r\n${extra}\r\n`;
    const buildCompleteAnswer = (id: string): string =>
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: ${this.options.id}\r\nContent-Length: 4\r\n\r\nbody`;
    switch (behaviour) {
      case EngineBehaviour.ResetBeforeAnswer:
        socket.resetAndDestroy();
        return;
      case EngineBehaviour.ResetWithinAnswer:
        socket.write(`${buildHead('Content-Length: 100\r\n')}some`, () => resetAfterDelay(socket));
        return;
      case EngineBehaviour.UnframedReset:
        socket.write(`${buildHead('Connection: close\r\n')}some`, () => resetAfterDelay(socket));
        return;
      case EngineBehaviour.Unframed:
        socket.end(`${buildHead('Connection: close\r\n')}body`);
        return;
      case EngineBehaviour.UnframedEnd:
        socket.write(`${buildHead('Connection: close\r\n')}some`);
        setTimeout(() => void this.stop(), RESET_DELAY_MS);
        return;
      case EngineBehaviour.Error:
        response.writeHead(500, { 'Attempt-Id': requestId, 'Response-Seal': this.options.id });
        response.end('failed');
        return;
      case EngineBehaviour.WrongAttemptId:
        socket.write(buildCompleteAnswer('another'));
        return;
      case EngineBehaviour.Garbage:
        socket.write('this is no answer\r\n\r\n');
        return;
      case EngineBehaviour.ExtraAnswer:
        socket.write(buildCompleteAnswer(requestId) + buildCompleteAnswer('late'));
        return;
      case EngineBehaviour.NoAnswer:
        return;
      case EngineBehaviour.CompleteAnswer:
      case EngineBehaviour.UnframedStream:
      case EngineBehaviour.Refuse:
      case EngineBehaviour.RefuseWithOtherId:
      case EngineBehaviour.RefuseWithoutId:
      case EngineBehaviour.RepeatedRefusal:
      case EngineBehaviour.UnframedRefusal:
      case EngineBehaviour.UnframedRefusalReset:
        response.writeHead(200, { 'Attempt-Id': requestId, 'Response-Seal': this.options.id });
        response.end(this.options.answer ?? 'body');
    }
  }
}

/** Delay before a reset, so that the bytes already written are sent. */
const RESET_DELAY_MS = 30;

/** Time for which an unframed refusal leaves its connection open, in milliseconds. */
const REFUSAL_END_DELAY_MS = 150;

/** Behaviours that send a whole stream. */
const STREAMS = new Set([EngineBehaviour.CompleteAnswer, EngineBehaviour.UnframedStream]);

const REFUSALS = new Set([
  EngineBehaviour.Refuse,
  EngineBehaviour.RefuseWithOtherId,
  EngineBehaviour.RefuseWithoutId,
]);

const UNFRAMED_REFUSALS = new Set([
  EngineBehaviour.UnframedRefusal,
  EngineBehaviour.UnframedRefusalReset,
]);

function sendUnframedRefusal(socket: Socket, requestId: string, behaviour: EngineBehaviour): void {
  socket.write(
    `HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${requestId}\r\nNot-Executed: 1\r\n\r\nfull`,
  );
  setTimeout(() => {
    if (behaviour === EngineBehaviour.UnframedRefusal) socket.end();
    else socket.resetAndDestroy();
  }, REFUSAL_END_DELAY_MS);
}

function resetAfterDelay(socket: Socket): void {
  setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}

async function waitForEnd({ durationMs, endedBy }: EngineSilence): Promise<void> {
  await Promise.race(endedBy === undefined ? [sleep(durationMs)] : [sleep(durationMs), endedBy]);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}
