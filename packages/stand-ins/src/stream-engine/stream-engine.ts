/**
 * Stand-in for an engine of the users' platform that is meant to run as a process of its own. Targets:
 * `/CLASS/NAME/EVENTS` with EVENTS above 0 is answered with a stream that goes on after `Last-Event-Id`,
 * with 0 by a plain answer. All that the engine chooses follows from its seed and the attempt id.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '@poplarpick/load';
import { AnswerFraming, EngineConduct, EngineRecordKind } from './engine-conduct.ts';
import type { ConductPlan, EngineRecord } from './engine-conduct.ts';
import { EngineConnection } from './engine-connection.ts';
import type { EngineRequest } from './engine-connection.ts';
import { formatAnswer, formatEvent } from './stream-text.ts';

/** Options of a `StreamEngine`; a process gets them as JSON in `STREAM_ENGINE_OPTIONS`. */
export interface StreamEngineOptions {
  id: string;
  /** Software version. */
  version: string;
  /** Start of the engine, in ms since the Unix epoch. */
  born: number;
  port: number;
  seed: number;
  host?: string;
  /** Requests that run at a time; further ones are refused. */
  slots?: number;
  /** Mean pause between two events. */
  eventPauseMs?: number;
  /** Share of the answers that have neither a length nor chunks. */
  unframedShare?: number;
}

const DEFAULT_SLOTS = 32;
const DEFAULT_EVENT_PAUSE_MS = 25;
const PLAIN_ANSWER_MS = 30;
const MAX_PADDING = 90;
const LONG_PAUSE_SHARE = 0.002;
const MAX_LONG_PAUSE_MS = 1_500;
const JOINED_SHARE = 0.2;
const DEFAULT_UNFRAMED_SHARE = 0.12;
const LENGTH_SHARE = 0.12;
const RETRY_AFTER_S = 0.2;

const SOUND: ConductPlan = { takeUpShare: 0, takeUp: [], anyShare: 0, any: [] };

/** One answer in the making. */
interface Answer {
  request: EngineRequest;
  connection: EngineConnection;
  attempt: string;
  stream: string;
  run: string;
  total: number;
  after: number;
  framing: AnswerFraming;
  conduct: EngineConduct;
  random: Random;
}

/** HTTP server with the protocol of an engine. */
export class StreamEngine {
  /** Conducts at present; sound by default. */
  conducts = SOUND;
  private readonly options: StreamEngineOptions;
  private readonly server: Server;
  private readonly record: (record: EngineRecord) => void;
  private readonly sockets = new Set<Socket>();
  private running = 0;
  private connections = 0;

  constructor(options: StreamEngineOptions, record: (record: EngineRecord) => void) {
    this.options = options;
    this.record = record;
    this.server = createServer((socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      const connection = new EngineConnection(socket, new Random(options.seed + this.connections));
      void connection.serve((request) => this.handle(request, connection));
    });
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  async start(): Promise<this> {
    const { port, host = '127.0.0.1' } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return this;
  }

  /** Ends all connections and accepts no more. */
  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  private async handle(request: EngineRequest, connection: EngineConnection): Promise<void> {
    const answer = this.plan(request, connection);
    if (answer.conduct !== EngineConduct.Early && !(await connection.readBody(request))) return;
    if (request.target.startsWith('/v1/')) return sendJson(connection, this.report(request.target));
    if (request.target === '/health') return this.sendHealth(connection);
    if (this.isMisdirected(request)) return this.refuse(answer, '421 Misdirected Request');
    const { slots = DEFAULT_SLOTS } = this.options;
    if (this.running >= slots) return this.refuse(answer, '503 Service Unavailable');
    this.running += 1;
    this.note(EngineRecordKind.Run, answer);
    await (answer.total > 0 ? this.stream(answer) : this.answer(answer));
    this.running -= 1;
    this.note(EngineRecordKind.Ended, answer);
    if (answer.conduct === EngineConduct.Early) await connection.readBody(request);
    if (answer.framing === AnswerFraming.Unframed) connection.end();
  }

  private plan(request: EngineRequest, connection: EngineConnection): Answer {
    const { id, born, seed } = this.options;
    const attempt = request.headers.get('attempt-id') ?? '';
    const [, , stream = '', total = '0'] = request.target.split('/');
    const random = new Random(hash(`${seed} ${born} ${attempt}`));
    const after = Number(request.headers.get('last-event-id') ?? 0);
    const conduct = this.chooseConduct(random, after);
    const framing = this.chooseFraming(random, conduct);
    const run = `${id}/${born}/${attempt}`;
    return {
      request,
      connection,
      attempt,
      stream,
      run,
      after,
      framing,
      conduct,
      random,
      total: Number(total),
    };
  }

  private chooseConduct(random: Random, after: number): EngineConduct {
    const { takeUp, takeUpShare, any, anyShare } = this.conducts;
    if (after > 0 && random.uniform() < takeUpShare) return random.pick(takeUp);
    if (random.uniform() < anyShare) return random.pick(any);
    return EngineConduct.Sound;
  }

  private chooseFraming(random: Random, conduct: EngineConduct): AnswerFraming {
    const { unframedShare = DEFAULT_UNFRAMED_SHARE } = this.options;
    const draw = random.uniform();
    if (conduct === EngineConduct.Unframed || draw < unframedShare) return AnswerFraming.Unframed;
    return draw < unframedShare + LENGTH_SHARE ? AnswerFraming.Length : AnswerFraming.Chunked;
  }

  private isMisdirected({ headers }: EngineRequest): boolean {
    const expected = headers.get('expect-instance');
    return expected !== undefined && expected !== this.options.id;
  }

  private note(kind: EngineRecordKind, answer: Answer): void {
    const { id: engine, version, born } = this.options;
    const { attempt, request, after, conduct, framing } = answer;
    const { target } = request;
    const at = Date.now();
    this.record({ kind, at, engine, version, born, attempt, target, after, conduct, framing });
  }

  private async refuse(answer: Answer, status: string): Promise<void> {
    this.note(EngineRecordKind.Refused, answer);
    const head = `HTTP/1.1 ${status}\r\nAttempt-Id: ${answer.attempt}\r\nNot-Executed: 1\r\nRetry-After: ${RETRY_AFTER_S}\r\n`;
    await answer.connection.write(
      `${head}Instance-Id: ${this.options.id}\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  private async sendHealth(connection: EngineConnection): Promise<void> {
    const head = `HTTP/1.1 200 OK\r\nInstance-Id: ${this.options.id}\r\n`;
    await connection.write(`${head}Content-Length: 0\r\n\r\n`);
  }

  private report(target: string): unknown {
    const { born, version } = this.options;
    if (target.startsWith('/v1/kv-list')) return { epoch: born, next: 1, held: [], born };
    const { running } = this;
    return { stage: 'both', models: [], busy: false, seq: 1, waiting: 0, running, born, version };
  }

  private async answer(answer: Answer): Promise<void> {
    await sleep(answer.random.integer(2 * PLAIN_ANSWER_MS));
    const body = formatAnswer(answer, answer.random.integer(MAX_PADDING * 10));
    await this.send(answer, { status: '200 OK', type: 'text/plain', body });
  }

  private async stream(answer: Answer): Promise<void> {
    const { conduct, after, total } = answer;
    if (conduct === EngineConduct.Error)
      return this.send(answer, { status: '500 Failed', type: 'text/plain', body: 'it failed\n' });
    if (conduct === EngineConduct.ErrorWithoutSeal) return this.sendUnsealed(answer);
    if (conduct === EngineConduct.NoStream)
      return this.send(answer, { status: '200 OK', type: 'text/html', body: '<p>resumed</p>\n' });
    return this.sendEvents(answer, firstEvent(conduct, after, total));
  }

  private async sendUnsealed({ connection, attempt }: Answer): Promise<void> {
    const body = 'it failed\n';
    await connection.write(
      `HTTP/1.1 500 Failed\r\nAttempt-Id: ${attempt}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
  }

  /** Sends the events from `first` on, as they are made; with a length, all of it is known before. */
  private async sendEvents(answer: Answer, first: number): Promise<void> {
    const { total, conduct, connection, random, framing } = answer;
    const texts = Array.from({ length: Math.max(0, total - first + 1) }, (_, index) =>
      this.formatEvent(answer, first + index),
    );
    if (conduct === EngineConduct.EventWithoutId && texts[0] !== undefined)
      texts[0] = texts[0].replace(/^id: \d+\n/, '');
    const length = texts.reduce((sum, text) => sum + text.length, 0);
    const head = this.formatHead(answer, { status: '200 OK', type: 'text/event-stream', length });
    if (conduct === EngineConduct.CloseInHead) return breakInHead(connection, head);
    await connection.write(head);
    const breakAt = isBreak(conduct) ? random.integer(texts.length) : -1;
    for (let index = 0; index < texts.length; index += 1) {
      await sleep(this.pauseMs(random));
      if (connection.isLeft) return;
      if (index === breakAt) return breakOff(answer, texts[index] ?? '');
      let text = texts[index] ?? '';
      while (index + 1 < texts.length && index + 1 !== breakAt && random.uniform() < JOINED_SHARE) {
        index += 1;
        text += texts[index] ?? '';
      }
      await connection.write(frame(framing, text));
    }
    if (framing === AnswerFraming.Chunked) await connection.write('0\r\n\r\n');
    if (conduct === EngineConduct.ExtraAnswer) await this.sendExtra(answer);
  }

  private async send(
    answer: Answer,
    { status, type, body }: { status: string; type: string; body: string },
  ): Promise<void> {
    const { connection, conduct, framing } = answer;
    if (connection.isLeft) return;
    const head = this.formatHead(answer, { status, type, length: body.length });
    if (conduct === EngineConduct.CloseInHead) return breakInHead(connection, head);
    await connection.write(head);
    if (isBreak(conduct)) return breakOff(answer, body);
    await connection.write(frame(framing, body));
    if (framing === AnswerFraming.Chunked) await connection.write('0\r\n\r\n');
    if (conduct === EngineConduct.ExtraAnswer) await this.sendExtra(answer);
  }

  /** Sends an answer to a request that nobody sent. */
  private async sendExtra({ connection, framing }: Answer): Promise<void> {
    if (framing === AnswerFraming.Unframed) return;
    const body = 'an answer of another request';
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: of-another\r\nResponse-Seal: ${this.options.id}\r\n`;
    await connection.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
  }

  private formatEvent({ stream, total, run, random }: Answer, number: number): string {
    const { version } = this.options;
    return formatEvent({ stream, number, total, version, run }, random.integer(MAX_PADDING));
  }

  private formatHead(
    { attempt, framing, run }: Answer,
    { status, type, length }: { status: string; type: string; length: number },
  ): string {
    const head = `HTTP/1.1 ${status}\r\nAttempt-Id: ${attempt}\r\nResponse-Seal: ${run}\r\nContent-Type: ${type}\r\n`;
    return `${head}${FRAMING_HEADERS[framing].replace('LENGTH', String(length))}\r\n\r\n`;
  }

  private pauseMs(random: Random): number {
    if (random.uniform() < LONG_PAUSE_SHARE) return random.integer(MAX_LONG_PAUSE_MS);
    return random.integer(2 * (this.options.eventPauseMs ?? DEFAULT_EVENT_PAUSE_MS));
  }
}

/** Number of the first event of a stream that goes on after an event; above `total` there is none. */
function firstEvent(conduct: EngineConduct, after: number, total: number): number {
  if (conduct === EngineConduct.NoEvents) return total + 1;
  if (conduct === EngineConduct.SkipEvent) return after + 2;
  if (conduct === EngineConduct.RepeatEvent) return after;
  return conduct === EngineConduct.FromStart ? 1 : after + 1;
}

const FRAMING_HEADERS: Record<AnswerFraming, string> = {
  [AnswerFraming.Chunked]: 'Transfer-Encoding: chunked',
  [AnswerFraming.Length]: 'Content-Length: LENGTH',
  [AnswerFraming.Unframed]: 'Connection: close',
};

function frame(framing: AnswerFraming, text: string): string {
  if (framing !== AnswerFraming.Chunked) return text;
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function isBreak(conduct: EngineConduct): boolean {
  return conduct === EngineConduct.Reset || conduct === EngineConduct.Close;
}

/** Ends the connection within a text. A close within an unframed answer would complete it, so it is reset. */
async function breakOff(
  { connection, conduct, framing, random }: Answer,
  text: string,
): Promise<void> {
  const framed = frame(framing, text);
  await connection.write(framed.slice(0, 1 + random.integer(Math.max(1, text.length - 1))));
  if (conduct === EngineConduct.Close && framing !== AnswerFraming.Unframed) connection.end();
  else connection.reset();
}

async function breakInHead(connection: EngineConnection, head: string): Promise<void> {
  const lineEnd = head.indexOf('\r\n', Math.floor(head.length / 2));
  await connection.write(head.slice(0, lineEnd + 2));
  connection.end();
}

async function sendJson(connection: EngineConnection, body: unknown): Promise<void> {
  const text = JSON.stringify(body);
  const head = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}`;
  await connection.write(`${head}\r\n\r\n${text}`);
}

/** A seed from a text. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  return value;
}
