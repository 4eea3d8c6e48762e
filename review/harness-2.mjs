// Small stand-ins and helpers of the second review: a metadata store, engines over raw TCP, a router that runs with
// the command of the deploy file, and a record of what was sent, answered and run. Loopback addresses only.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('..', import.meta.url));
/** Whether the case plays its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

const HEAD_END = '\r\n\r\n';
const LIMIT_MS = 110_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds; false if it doesn't within `ms`. */
export async function until(condition, ms = 10_000, stepMs = 20) {
  for (const end = Date.now() + ms; Date.now() < end; await sleep(stepMs))
    if (await condition()) return true;
  return false;
}

/** A loopback address that no other case uses, so that fixed ports are free on it. */
export function freeAddress() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
}

/** Lines of what was sent, answered and run, with the time in ms. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.lines = [];
    this.startedAt = performance.now();
  }

  add(text) {
    const at = Math.round(performance.now() - this.startedAt);
    this.lines.push(`${String(at).padStart(6)} ms  ${text}`);
  }

  save() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** The read side of the platform's metadata store. */
export class Store {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.revision = 100;
    this.waiting = new Set();
    this.isAway = false;
    this.server = createHttpServer((request, response) => this.serve(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  async start(ip) {
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  put(key, value) {
    this.change(key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  remove(key) {
    this.change(key, undefined);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  change(key, value) {
    this.revision += 1;
    const createdRev = this.items.get(key)?.createdRev ?? this.revision;
    const item =
      value === undefined
        ? { key, rev: this.revision, deleted: true }
        : { key, value, rev: this.revision, createdRev, lease: 0 };
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, item);
    this.history.push(item);
    for (const answer of [...this.waiting]) answer();
  }

  serve(request, response) {
    // Away: it takes calls and answers none.
    if (this.isAway) return;
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const prefix = searchParams.get('pathPrefix') ?? '';
    const after = searchParams.get('after');
    if (pathname === '/v1/kv-range') {
      const items = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > (after ?? ''))
        .sort((first, second) => (first.key < second.key ? -1 : 1));
      send(response, { items, hasMore: false, currentRev: this.revision });
      return;
    }
    if (pathname !== '/v1/kv-watch') {
      response.writeHead(404).end();
      return;
    }
    const findEvents = () =>
      this.history.filter(({ key, rev }) => key.startsWith(prefix) && rev > Number(after));
    const answer = (isOver) => {
      const events = findEvents();
      if (events.length === 0 && isOver !== true) return;
      clearTimeout(timer);
      this.waiting.delete(answer);
      send(response, { events, currentRev: this.revision });
    };
    const timer = setTimeout(() => answer(true), Number(searchParams.get('waitMs')));
    this.waiting.add(answer);
    response.once('close', () => {
      clearTimeout(timer);
      this.waiting.delete(answer);
    });
    answer();
  }
}

function send(response, body) {
  response.setHeader('Content-Type', 'application/json');
  response.setHeader('Store-Era', '1');
  response.end(JSON.stringify(body));
}

/** An engine over raw TCP; `handle` gets each request and the socket, and writes the answer. */
export class Engine {
  constructor({ id, service, handle, slots = 32, version = 'v1' }) {
    Object.assign(this, { id, service, handle, slots, version });
    this.born = Date.now();
    this.sockets = new Set();
    this.server = createServer((socket) => this.accept(socket));
  }

  async start(ip) {
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  get entry() {
    const { service, address, version, slots, born } = this;
    const model = { name: 'm', version: 1, adapters: [] };
    const own = { service, address, zone: 'z1', version, slots, state: 'ready', born };
    return { ...own, coldRemainingMs: 0, stage: 'both', models: [model], seq: 1 };
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Ends all connections with a reset, and is gone until `startAgain`. */
  crash() {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** Starts again under its id and at its address. */
  async startAgain() {
    const [ip, port] = this.address.split(':');
    this.born = Date.now();
    await new Promise((resolve) => this.server.listen(Number(port), ip, resolve));
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      for (;;) {
        const end = received.indexOf(HEAD_END);
        if (end < 0) return;
        const head = received.slice(0, end + 2);
        const length = end + HEAD_END.length + Number(headerOf(head, 'content-length') ?? 0);
        if (received.length < length) return;
        const body = received.slice(end + HEAD_END.length, length);
        received = received.slice(length);
        this.dispatch(socket, head, body);
      }
    });
  }

  /** What is cached: `held` has the tokens of each part by its id. */
  listHeld() {
    const parts = [...(this.held ?? new Map())].map(([id, tokens]) => ['', id, tokens, 'm']);
    return { epoch: 1, next: 1, held: parts };
  }

  get isSilent() {
    return this.postponed !== undefined;
  }

  /** Answers nothing for so long. */
  fallSilent(ms) {
    this.postponed = [];
    setTimeout(() => {
      const { postponed } = this;
      this.postponed = undefined;
      for (const call of postponed) this.dispatch(...call);
    }, ms);
  }

  dispatch(socket, head, body) {
    if (head.startsWith('GET /v1/kv-list')) this.onList?.();
    if (this.isSilent) {
      this.postponed.push([socket, head, body]);
      return;
    }
    const [method, target] = head.split(' ', 2);
    const id = headerOf(head, 'attempt-id');
    if (target === '/v1/report') {
      const report = { stage: 'both', models: [], busy: false, seq: 1, waiting: 0, running: 0 };
      answer(socket, { body: JSON.stringify({ ...report, born: this.born }) });
    } else if (target === '/v1/kv-list')
      answer(socket, { body: JSON.stringify({ ...this.listHeld(), born: this.born }) });
    else if (headerOf(head, 'expect-instance') !== this.id)
      answer(socket, { status: '421 Misdirected Request', headers: { 'Attempt-Id': id } });
    else this.handle({ socket, method, target, id, head, body, engine: this });
  }
}

/** The value of a header in the text of a head. */
export function headerOf(head, name) {
  return new RegExp(`^${name}: *(.*?)\\r$`, 'im').exec(head)?.[1];
}

/** Writes a whole answer with a length. */
export function answer(socket, { status = '200 OK', headers = {}, body = '' }) {
  const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) });
  const text = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  socket.write(`HTTP/1.1 ${status}\r\n${text}\r\n${body}`);
}

/** A router, started with the command of the deploy file. */
export class Router {
  constructor({ name, ip, store, seeds = [], bootstrap = true }) {
    Object.assign(this, { name, ip, store, seeds, bootstrap });
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.exit = undefined;
    this.output = '';
  }

  get front() {
    return { host: this.ip, port: 8783 };
  }

  start() {
    const path = join(this.folder, 'boot.toml');
    writeFileSync(path, this.settings());
    const [program, ...args] = readRunLine();
    this.exit = undefined;
    this.process = spawn(join(ROOT, program), args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, POPLARPICK_CONFIG: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { stdout, stderr } = this.process;
    for (const stream of [stdout, stderr])
      stream.on('data', (bytes) => (this.output += bytes.toString()));
    this.process.once('exit', (code, signal) => (this.exit = { code, signal }));
  }

  /** Waits until the router says that it is ready. */
  async ready() {
    return until(async () => {
      try {
        const reply = await fetch(`http://${this.ip}:8780/v1/readiness`);
        return reply.status === 200;
      } catch {
        return false;
      }
    });
  }

  async stop() {
    if (this.process !== undefined && this.exit === undefined) this.process.kill('SIGKILL');
    await until(() => this.process === undefined || this.exit !== undefined, 2_000);
    rmSync(this.folder, { recursive: true, force: true });
  }

  settings() {
    const seeds = [...this.seeds, this.ip].map((ip) => `"${ip}:8785"`).join(',');
    return `node = "${this.name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "${this.ip}"
zone = "z1"
region = "r1"
portRange = [7400,7415]
seeds = [${seeds}]
bootstrap = ${this.bootstrap}
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
z1 = "r1"
[listen]
front = "${this.ip}:8783"
ready = "${this.ip}:8780"
control = "${this.ip}:8785"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
failClosed = true
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 56
recoverS = 12
quotaWindowS = 4
[provider]
address = "${this.store.address}"
form = "read"
readsPerS = 2000
historyS = 20
`;
  }
}

function readRunLine() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, line] = /\[roles\.router\][^]*?^run = "(.*)"/m.exec(text);
  return line.split(' ');
}

/** A configuration with these routes and services. */
export function configuration(version, { routes, services, tenants }) {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
    tokensPerS: 357_000,
  };
  return { version, routes, services, limits, ...(tenants === undefined ? {} : { tenants }) };
}

/** One request over a connection of its own; resolves to what was read until its end. */
export function request(target, text, { timeoutMs = 10_000 } = {}) {
  return new Promise((resolve) => {
    const socket = connect(target);
    let received = '';
    let isReset = false;
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    socket.on('connect', () => socket.write(text));
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      if (isWhole(received)) socket.end();
    });
    socket.on('error', () => (isReset = true));
    socket.on('close', () => {
      clearTimeout(timer);
      resolve({ received, isReset, isWhole: isWhole(received) });
    });
  });
}

/** How a request ends whose connection is closed before its answer is whole. */
export const UNANSWERED = 'closed without an answer';
export const BROKEN_OFF = 'closed within its answer';

/** A caller that keeps its connection. */
export class Caller {
  constructor(front) {
    this.socket = connect(front);
    this.socket.on('error', () => undefined);
    /** Whole answers so far. */
    this.answers = 0;
  }

  /** Sends a request; resolves to the status line of its answer, or to how it ended. */
  async send(id, target, { deadlineMs = 3_000, headers = '' } = {}) {
    const { socket } = this;
    let received = '';
    return new Promise((resolve) => {
      const onClose = () => resolve(received === '' ? UNANSWERED : BROKEN_OFF);
      const onData = (bytes) => {
        received += bytes.toString('latin1');
        if (!isWhole(received)) return;
        socket.off('close', onClose);
        socket.off('data', onData);
        this.answers += 1;
        // A caller respects it, and comes again over another connection.
        if (/^connection: close\r$/im.test(received)) socket.destroy();
        resolve(received.split('\r\n', 1)[0]);
      };
      socket.on('data', onData);
      socket.on('close', onClose);
      if (socket.destroyed) onClose();
      socket.write(
        `POST ${target} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n${headers}Content-Length: 0\r\n\r\n`,
      );
    });
  }

  stop() {
    this.socket.destroy();
  }
}

/** One try of a stream over a connection of its own; `lastId` and `resumes` take up an earlier one. */
export class Take {
  constructor(front, { id, session, events, lastId = -1, resumes }) {
    this.id = id;
    this.events = [];
    this.lastId = lastId;
    this.isWhole = false;
    this.socket = connect(front);
    let received = '';
    this.socket.on('error', () => undefined);
    this.socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      this.read(received);
      if (isWhole(received)) this.socket.destroy();
    });
    this.done = new Promise((resolve) => this.socket.on('close', resolve));
    const resumption =
      resumes === undefined ? '' : `Last-Event-Id: ${lastId}\r\nResumes: ${resumes}\r\n`;
    this.socket.write(
      `POST /draft/${events} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ${id}\r\nModel: m\r\n` +
        `Token-Usage: 100,50\r\nPrompt-Prefix: aa:50,5e551${session}:50\r\nDeadline-Ms: 12000\r\n` +
        `${resumption}Content-Length: 0\r\n\r\n`,
    );
  }

  read(received) {
    this.status = received.split('\r\n', 1)[0].slice('HTTP/1.1 '.length);
    this.events = received.match(/^id: \d+\ndata: .*\n\n/gm) ?? [];
    const last = this.events.at(-1);
    if (last !== undefined) this.lastId = Number(/^id: (\d+)/.exec(last)[1]);
    this.isWhole = isWhole(received);
  }

  stop() {
    this.socket.destroy();
  }
}

/** Whether the text is a whole answer. */
export function isWhole(text) {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return false;
  const length = headerOf(text.slice(0, end + 2), 'content-length');
  if (length !== undefined) return text.length >= end + HEAD_END.length + Number(length);
  return text.endsWith(`0${HEAD_END}`);
}

/**
 * Runs a case in its folder. `play` gets a record and `own`, which ends what it is given when the case is over, and
 * returns true if the rule held. Exits with 0 if it held, 1 if it was broken and 2 if the case couldn't run.
 */
export async function runCase(url, play) {
  const record = new Record(dirname(fileURLToPath(url)));
  const owned = [];
  const own = (thing) => {
    owned.push(thing);
    return thing;
  };
  let code = 2;
  const limit = new Promise((resolve) => setTimeout(() => resolve('late'), LIMIT_MS).unref());
  try {
    record.add(`disruption: ${isTroubled ? 'played' : 'left out'}`);
    const result = await Promise.race([play({ record, own }), limit]);
    if (result === 'late') record.add('the case took too long');
    else code = result ? 0 : 1;
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
  }
  for (const thing of owned.reverse()) await thing.stop();
  record.add(`exit ${code}: ${['the rule held', 'the rule was broken', 'could not run'][code]}`);
  record.save();
  process.exit(code);
}
