/**
 * Stand-in of an engine of the users' platform: it answers as the platform's page says, and misbehaves
 * as told. It counts what it ran, so that a test can tell what was done twice or falsely denied.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** What an engine does with a request. */
export enum EngineBehaviour {
  /** Answers whole. */
  CompleteAnswer = 'whole',
  /** Runs it and resets the connection before an answer. */
  ResetBeforeAnswer = 'reset-before-answer',
  /** Resets the connection in the middle of the answer. */
  ResetWithinAnswer = 'reset-within-answer',
  /** Answers without a length and resets the connection before the end. */
  UnframedReset = 'unframed-reset',
  /** Answers without a length and ends the connection. */
  Unframed = 'unframed',
  /** Fails it after it ran. */
  Error = 'error',
  /** Refuses it; it has not run. */
  Refuse = 'refuse',
  /** Answers as if to another request. */
  WrongAttemptId = 'foreign',
  /** Sends bytes that are no answer. */
  Garbage = 'garbage',
  /** Sends a second answer after the first. */
  ExtraAnswer = 'extra',
  /** Never answers. */
  NoAnswer = 'mute',
}

/** A request that the engine began to work on. */
export interface ExecutedRequest {
  requestId: string;
  method: string;
  target: string;
  headers: IncomingMessage['headers'];
  body: string;
  /** The caller closed the connection before the answer was whole. */
  wasLeft: boolean;
}

/** Options of a `PlatformEngine`. */
export interface PlatformEngineOptions {
  id: string;
  /** Events of a stream. */
  events?: number;
  eventPauseMs?: number;
  /** Event after which a stream from the start is broken off; none by default. */
  resetAfterEvent?: number;
  /** Prompt parts that it says it keeps, as it lists them. */
  cachedPrompts?: unknown[];
}

/** Targets that are answered with a stream of events. */
const STREAM_TARGET = /^\/(stream|long)\//;

const DEFAULT_EVENTS = 5;
const DEFAULT_PAUSE_MS = 5;

/** The engine. */
export class PlatformEngine {
  readonly runs: ExecutedRequest[] = [];
  /** Requests that arrived, whether they ran or not. */
  arrivals = 0;
  chooseBehaviour: (request: IncomingMessage) => EngineBehaviour = () =>
    EngineBehaviour.CompleteAnswer;
  readonly options: PlatformEngineOptions;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(options: PlatformEngineOptions) {
    this.options = options;
    this.server = createServer((request, response) => void this.serve(request, response));
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
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  /** Its entry in the store. */
  createStoreEntry(service: string, part: Record<string, unknown> = {}): Record<string, unknown> {
    return {
      service,
      address: this.address,
      zone: 'z',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      seq: 1,
      ...part,
    };
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/v1/kv-list') {
      const list = { epoch: 1, next: 1, held: this.options.cachedPrompts ?? [] };
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify(list));
      return;
    }
    this.arrivals += 1;
    const requestId = String(request.headers['attempt-id']);
    const body = await readBody(request);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      response.writeHead(421, { 'Attempt-Id': requestId, 'Instance-Id': this.options.id }).end();
      return;
    }
    const behaviour = this.chooseBehaviour(request);
    if (behaviour === EngineBehaviour.Refuse) {
      response.writeHead(503, { 'Attempt-Id': requestId, 'Not-Executed': '1' }).end();
      return;
    }
    const { method = '', url: target = '', headers } = request;
    const run: ExecutedRequest = { requestId, method, target, headers, body, wasLeft: false };
    this.runs.push(run);
    response.once('close', () => (run.wasLeft = !response.writableFinished));
    if (STREAM_TARGET.test(target) && behaviour === EngineBehaviour.CompleteAnswer) {
      await this.stream(request, response);
    } else this.answer(behaviour, requestId, response);
  }

  private async stream(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const {
      events = DEFAULT_EVENTS,
      eventPauseMs = DEFAULT_PAUSE_MS,
      resetAfterEvent,
    } = this.options;
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {
      'Attempt-Id': String(request.headers['attempt-id']),
      'Response-Seal': this.options.id,
      'Content-Type': 'text/event-stream',
    });
    for (let id = first; id <= events; id += 1) {
      if (id - 1 === resetAfterEvent && first === 1) {
        response.write(`id: ${id}\ndata: half`);
        await pause(eventPauseMs);
        request.socket.resetAndDestroy();
        return;
      }
      response.write(`id: ${id}\ndata: event ${id}\n\n`);
      await pause(eventPauseMs);
      if (response.destroyed) return;
    }
    response.end();
  }

  private answer(behaviour: EngineBehaviour, requestId: string, response: ServerResponse): void {
    const socket = response.socket as Socket;
    const head = (extra: string): string =>
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\nResponse-Seal: ${this.options.id}\r\n${extra}\r\n`;
    const whole = (id: string): string =>
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: ${this.options.id}\r\nContent-Length: 4\r\n\r\nbody`;
    switch (behaviour) {
      case EngineBehaviour.ResetBeforeAnswer:
        socket.resetAndDestroy();
        return;
      case EngineBehaviour.ResetWithinAnswer:
        socket.write(`${head('Content-Length: 100\r\n')}some`, () => resetSoon(socket));
        return;
      case EngineBehaviour.UnframedReset:
        socket.write(`${head('Connection: close\r\n')}some`, () => resetSoon(socket));
        return;
      case EngineBehaviour.Unframed:
        socket.end(`${head('Connection: close\r\n')}body`);
        return;
      case EngineBehaviour.Error:
        response.writeHead(500, { 'Attempt-Id': requestId, 'Response-Seal': this.options.id });
        response.end('failed');
        return;
      case EngineBehaviour.WrongAttemptId:
        socket.write(whole('another'));
        return;
      case EngineBehaviour.Garbage:
        socket.write('this is no answer\r\n\r\n');
        return;
      case EngineBehaviour.ExtraAnswer:
        socket.write(whole(requestId) + whole('late'));
        return;
      case EngineBehaviour.NoAnswer:
        return;
      case EngineBehaviour.CompleteAnswer:
      case EngineBehaviour.Refuse:
        response.writeHead(200, { 'Attempt-Id': requestId, 'Response-Seal': this.options.id });
        response.end('body');
    }
  }
}

/** The pause lets what was written leave before the reset. */
const RESET_PAUSE_MS = 30;

function resetSoon(socket: Socket): void {
  setTimeout(() => socket.resetAndDestroy(), RESET_PAUSE_MS);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}
