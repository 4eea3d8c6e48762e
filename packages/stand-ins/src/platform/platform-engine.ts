/**
 * Stand-in for an engine of the users' platform. It answers as the platform's documentation specifies
 * and misbehaves as `chooseBehaviour` selects. It records the requests that it executed, so that a
 * test can detect a duplicate execution, or an executed request that was reported as not executed.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { answerCacheList, CacheListAnswer } from './cache-list.ts';
import { sendAnswer, sendUnframedRefusal } from './engine-answers.ts';
import { EngineBehaviour, REFUSALS, STREAMS, UNFRAMED_REFUSALS } from './engine-behaviour.ts';
import type { EngineSilence, PlatformEngineOptions } from './platform-engine-options.ts';
import { createStoreEntry } from './store-entry.ts';

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
    return createStoreEntry({ service, address: this.address }, overrides);
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
    if (response.destroyed) return;
    const { id: engineId, answer = 'body' } = this.options;
    sendAnswer(behaviour, response, { requestId, engineId, answer, onEnd: () => void this.stop() });
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
}

async function waitForEnd({ durationMs, endedBy }: EngineSilence): Promise<void> {
  await Promise.race(endedBy === undefined ? [sleep(durationMs)] : [sleep(durationMs), endedBy]);
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}
