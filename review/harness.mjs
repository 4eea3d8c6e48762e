/**
 * Common parts of the scripts: a stand-in of the platform's store, stand-ins of engines, callers, and
 * router processes that are started with the command of the deploy file. Everything listens on loopback
 * addresses of one run, 127.A.B.n, so that each router has an address of its own as on its own machine.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the script is run with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of a small site, as its settings file has them. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  downgradeSlackMs: 250,
  outerMs: 5000,
  failClosed: true,
  revokeMs: 5000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 56,
  recoverS: 12,
  passMs: 120,
  againS: 10,
  quotaWindowS: 4,
};

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Waits until a condition holds; throws if it doesn't within `limitMs`. */
export async function waitFor(what, condition, limitMs = 15_000) {
  const until = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > until) throw new Error(`not within ${limitMs} ms: ${what}`);
    await sleep(20);
  }
}

/** One run of a script: its record, its addresses and what has to be ended with it. */
export class Run {
  constructor(folder) {
    this.record = join(folder, 'record.txt');
    this.directory = mkdtempSync(join(tmpdir(), 'poplarpick-review-'));
    this.network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    this.startedAt = performance.now();
    this.closers = [];
    this.routers = [];
    writeFileSync(this.record, '');
    this.note(`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}, network: ${this.network}.0/24`);
  }

  /** An address of this run. */
  ip(number) {
    return `${this.network}.${number}`;
  }

  /** Writes a line to the record. */
  note(text) {
    const ms = Math.round(performance.now() - this.startedAt);
    appendFileSync(this.record, `${String(ms).padStart(6)} ${text}\n`);
  }

  onEnd(close) {
    this.closers.push(close);
  }

  async end() {
    for (const close of this.closers.reverse()) await close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Runs a script; `body` returns the sentences that tell how the rule was broken. */
export async function main(folder, body) {
  const run = new Run(folder);
  let code = NOT_RUN;
  const guard = setTimeout(() => {
    run.note('the script took too long');
    for (const router of run.routers) router.child?.kill('SIGKILL');
    process.exit(NOT_RUN);
  }, 115_000);
  try {
    const broken = await body(run);
    for (const sentence of broken) run.note(`BROKEN: ${sentence}`);
    code = broken.length > 0 ? BROKEN : HELD;
  } catch (error) {
    run.note(`could not run: ${error.stack}`);
  }
  await run.end();
  clearTimeout(guard);
  run.note(`exit ${code}`);
  process.stdout.write(readFileSync(run.record, 'utf8').split('\n').slice(-12).join('\n'));
  process.exit(code);
}

/** Stand-in of the platform's store: listings, watches, and the era of the store. */
export class Store {
  items = new Map();
  history = [];
  revision = 100;
  era = 1;
  isSilent = false;
  watches = new Set();
  /** Ends the waiting watches without an answer. */
  drops = new Set();

  async start(run, number = 1) {
    this.run = run;
    this.address = `${run.ip(number)}:8781`;
    this.server = http.createServer((request, response) => this.answer(request, response));
    await listen(this.server, this.address);
    run.onEnd(() => closeServer(this.server));
    return this;
  }

  /** Answers no more, also what is waiting now. */
  fallSilent() {
    this.run.note('the store is silent');
    this.isSilent = true;
    for (const drop of [...this.drops]) drop();
  }

  /** Answers again. */
  answerAgain() {
    this.run.note('the store answers');
    this.isSilent = false;
  }

  /** Writes an item; a string or a buffer is written as it is, anything else as JSON. */
  put(key, value) {
    const bytes =
      typeof value === 'string' || Buffer.isBuffer(value) ? value : JSON.stringify(value);
    return this.change(key, Buffer.from(bytes).toString('base64'));
  }

  remove(key) {
    return this.change(key, undefined);
  }

  change(key, value) {
    this.revision += 1;
    const createdRev = this.items.get(key)?.createdRev ?? this.revision;
    const item = { key, value, rev: this.revision, createdRev };
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, item);
    this.history.push(item);
    for (const tell of [...this.watches]) tell();
    return this.revision;
  }

  answer(request, response) {
    response.setHeader('Store-Era', String(this.era));
    if (this.isSilent) return;
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    if (url.pathname === '/v1/kv-range') {
      const after = url.searchParams.get('after') ?? '';
      const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
      const items = keys
        .sort()
        .slice(0, 500)
        .map((key) => format(this.items.get(key)));
      sendJson(response, 200, { items, hasMore: keys.length > 500, currentRev: this.revision });
    } else if (url.pathname === '/v1/kv-watch') {
      this.watch(url, prefix, response);
    } else {
      sendJson(response, 404, {});
    }
  }

  watch(url, prefix, response) {
    const after = Number(url.searchParams.get('after'));
    const tell = () => {
      if (after > this.revision) return finish(410, {});
      const events = this.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
      if (events.length > 0) finish(200, { events: events.map(format), currentRev: this.revision });
    };
    const finish = (status, body) => {
      clearTimeout(timer);
      this.watches.delete(tell);
      sendJson(response, status, body);
    };
    const timer = setTimeout(
      () => finish(200, { events: [], currentRev: this.revision }),
      Number(url.searchParams.get('waitMs')),
    );
    const drop = () => {
      clearTimeout(timer);
      this.watches.delete(tell);
      this.drops.delete(drop);
    };
    response.once('close', drop);
    this.watches.add(tell);
    this.drops.add(drop);
    tell();
  }
}

function format({ key, value, rev, createdRev }) {
  if (value === undefined) return { key, rev, deleted: true };
  return { key, value, rev, createdRev, lease: 77 };
}

function sendJson(response, status, body) {
  if (response.writableEnded || response.destroyed) return;
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Stand-in of an engine. `handle` gets each request that it runs, and answers it. */
export class Engine {
  runs = [];
  sockets = new Set();
  isUp = false;

  constructor({
    id,
    service,
    number,
    port = 8080,
    zone = 'z',
    version = 'v1',
    slots = 32,
    handle,
  }) {
    Object.assign(this, { id, service, number, port, zone, version, slots });
    if (handle !== undefined) this.handle = handle;
  }

  async start(run, store) {
    this.run = run;
    this.store = store;
    this.address = `${run.ip(this.number)}:${this.port}`;
    await this.open();
    this.register();
    run.onEnd(() => this.crash());
    return this;
  }

  /** Accepts connections as a new incarnation. */
  async open() {
    this.born = Date.now();
    this.server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
      this.receive(request, response).catch((error) =>
        this.run.note(`engine ${this.id}: ${error.message}`),
      );
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await listen(this.server, this.address);
    this.isUp = true;
  }

  /** Ends all connections with a reset and accepts no more. */
  async crash() {
    if (!this.isUp) return;
    this.isUp = false;
    const closed = new Promise((done) => this.server.close(done));
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closed;
  }

  entry(fields = {}) {
    const { service, address, zone, version, slots, born } = this;
    return {
      service,
      address,
      zone,
      version,
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      seq: 1,
      born,
      ...fields,
    };
  }

  register(fields) {
    return this.store.put(`servers/${this.id}`, this.entry(fields));
  }

  async receive(request, response) {
    const { headers } = request;
    const attempt = headers['attempt-id'];
    if (request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    if (request.url.startsWith('/v1/')) {
      sendJson(response, 200, this.report(request.url));
      return;
    }
    const body = await readAll(request);
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.run.note(`engine ${this.id}: 421 to ${attempt}, which expects ${expected}`);
      response.writeHead(421, { 'Attempt-Id': attempt, 'Instance-Id': this.id }).end();
      return;
    }
    const run = { attempt, at: performance.now(), request, response, body, engine: this };
    await this.handle(run);
  }

  report(url) {
    if (url.startsWith('/v1/kv-list')) return { epoch: 1, next: 1, held: [], born: this.born };
    return { stage: 'both', models: [], busy: false, seq: 1, running: 0, born: this.born };
  }

  /** Records that a request begins to run. */
  begin(run) {
    this.runs.push(run);
    this.run.note(`engine ${this.id}: runs ${run.attempt}`);
  }

  /** Refuses a request without running it. */
  refuse({ attempt, response }, headers = {}) {
    response.writeHead(503, { 'Attempt-Id': attempt, 'Not-Executed': '1', ...headers }).end();
  }

  /** By default each request is run and answered at once. */
  async handle(run) {
    this.begin(run);
    this.succeed(run, 'body');
  }

  succeed({ attempt, response }, body, headers = {}) {
    if (response.destroyed) return;
    response.writeHead(200, { 'Attempt-Id': attempt, 'Response-Seal': this.id, ...headers });
    response.end(body);
  }

  /** Answers with a stream of events after the one that the request names; false if it was left. */
  async stream(run, { events, gapMs, text = this.version }) {
    const { attempt, request, response } = run;
    response.writeHead(200, {
      'Attempt-Id': attempt,
      'Response-Seal': this.id,
      'Content-Type': 'text/event-stream',
    });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= events; id += 1) {
      if (response.destroyed) return false;
      response.write(`id: ${id}\ndata: ${text} ${id}\n\n`);
      await sleep(gapMs);
    }
    response.end();
    return true;
  }
}

async function readAll(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('latin1');
}

function listen(server, address) {
  const [host, port] = address.split(':');
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(Number(port), host, done);
  });
}

async function closeServer(server) {
  server.closeAllConnections?.();
  await new Promise((done) => server.close(done));
}

/** The command of the router's role in the deploy file. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const role = text.slice(text.indexOf('[roles.router]'));
  return /^run = "([^"]+)"/m.exec(role)[1].split(' ');
}

/** A router process. */
export class Router {
  constructor(run, { number, storeAddress, seeds = [], zone = 'z', zones, bootstrap = true }) {
    Object.assign(this, { run, number, storeAddress, seeds, zone, bootstrap });
    this.zones = zones ?? { [zone]: 'region' };
    this.ip = run.ip(number);
    this.name = `front-${number}`;
    this.settings = join(run.directory, `${this.name}.toml`);
    this.log = join(run.directory, `${this.name}.log`);
    this.exits = [];
    this.logText = '';
    run.routers.push(this);
    run.onEnd(() => this.kill());
  }

  writeSettings() {
    const { ip, seeds, zone, zones, bootstrap } = this;
    const lines = [
      `node = "${this.name}"`,
      'role = "router"',
      'machineClass = "front"',
      'serves = ["front","control"]',
      `ip = "${ip}"`,
      `zone = "${zone}"`,
      `region = "${zones[zone]}"`,
      'portRange = [7400,7415]',
      `seeds = ${JSON.stringify(seeds.map((seed) => `${seed}:8785`))}`,
      `bootstrap = ${bootstrap}`,
      'countsAsLoss = false',
      'discovery = "platform"',
      'entry = "virtual_ip"',
      'heartbeatMs = 1200',
      'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]',
      '[zones]',
      ...Object.entries(zones).map(([name, region]) => `${name} = "${region}"`),
      '[listen]',
      `front = "${ip}:8783"`,
      `ready = "${ip}:8780"`,
      `control = "${ip}:8785"`,
      '[limits]',
      'cpuShare = 0.513',
      'cores = 1',
      'memoryMb = 350',
      'maxFds = 4100',
      'linkMbps = 1000.0',
      'diskMb = 0',
      '[faultTolerance]',
      'machines = 2',
      'zones = 0',
      'regions = 0',
      '[bounds]',
      ...Object.entries(BOUNDS).map(([name, value]) => `${name} = ${value}`),
      '[provider]',
      `address = "${this.storeAddress}"`,
      'form = "read"',
      'writesPerS = 400',
      'readsPerS = 2000',
      'historyS = 20',
      'valueBytes = 1048576',
      'ttlMinMs = 1000',
      '',
    ];
    writeFileSync(this.settings, lines.join('\n'));
  }

  /** Starts the process. */
  spawn() {
    this.writeSettings();
    const [program, ...words] = deployCommand();
    const { PATH = '', HOME = '/' } = process.env;
    const child = spawn(join(ROOT, program), words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG: 'C.UTF-8', POPLARPICK_CONFIG: this.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    const keep = (chunk) => (this.logText += chunk.toString());
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    this.exited = new Promise((done) => {
      child.once('exit', (code, signal) => {
        this.exits.push({ pid: child.pid, code, signal, wasAsked: child.wasAsked === true });
        this.run.note(
          `router ${this.name}: process ${child.pid} ended, code ${code}, signal ${signal}`,
        );
        if (this.child === child) this.child = undefined;
        done();
      });
    });
    this.run.note(`router ${this.name}: process ${child.pid} started`);
    return this;
  }

  /** Waits until the process says that it is ready. */
  async waitReady(limitMs = 15_000) {
    await waitFor(`${this.name} is ready`, () => this.isReady(), limitMs);
  }

  async isReady() {
    try {
      const response = await fetch(`http://${this.ip}:8780/v1/readiness`, {
        signal: AbortSignal.timeout(1_000),
      });
      return response.status === 200;
    } catch {
      return false;
    }
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.run.note(`router ${this.name}: ${name}`);
    this.child?.kill(name);
  }

  async kill() {
    const { child } = this;
    if (child === undefined) return;
    child.wasAsked = true;
    child.kill('SIGKILL');
    await this.exited;
  }

  /** Lines of the log with a text. */
  logLines(text) {
    return this.logText.split('\n').filter((line) => line.includes(text));
  }
}

/** Starts routers that know each other, and waits until they are ready. */
export async function startRouters(run, store, count, options = {}) {
  const numbers = Array.from({ length: count }, (_, index) => 10 + index);
  const seeds = numbers.slice(0, 3).map((number) => run.ip(number));
  const routers = numbers.map(
    (number) => new Router(run, { number, seeds, storeAddress: store.address, ...options }),
  );
  for (const router of routers) router.spawn();
  for (const router of routers) await router.waitReady();
  await sleep(1_500);
  return routers;
}

/** A route of the operator's configuration. */
export function route(name, fields) {
  return {
    name,
    host: 'h.example',
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMs: 2500,
    targetLatencyMs: 150,
    priority: 1,
    maxAttempts: 2,
    public: true,
    sticky: false,
    resumable: false,
    gapAimMs: 300,
    ...fields,
  };
}

/** The operator's configuration. */
export function configuration(version, { routes, services, tenants = [] }) {
  return {
    version,
    routes,
    services: services.map((service) => ({
      healthCheck: '/health',
      maxConnections: 500,
      protocol: 'h1',
      tls: false,
      ...service,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
      tokensPerS: 350000,
    },
    tenants,
  };
}

let attempts = 0;

/** A caller. Its requests go over kept connections unless `agent` is false. */
export class Caller {
  constructor(run, { keepAlive = true, maxSockets = Infinity } = {}) {
    this.run = run;
    this.agent = keepAlive ? new http.Agent({ keepAlive: true, maxSockets }) : false;
    run.onEnd(() => this.agent && this.agent.destroy());
  }

  /** Sends a request and resolves with what was received of its answer. */
  send(
    router,
    path,
    { method, body, headers = {}, deadlineMs = 2500, host = 'h.example', onData } = {},
  ) {
    attempts += 1;
    const attempt = attempts.toString(16).padStart(16, '0');
    const sentAt = performance.now();
    this.run.note(`caller: sends ${attempt} ${path} to ${router.name}`);
    return new Promise((done) => {
      const result = { attempt, sentAt, path, status: 0, headers: {}, body: '', isCut: false };
      let isDone = false;
      const finish = (fields) => {
        if (isDone) return;
        isDone = true;
        Object.assign(result, fields, { endedAt: performance.now() });
        const ms = Math.round(result.endedAt - sentAt);
        const end = result.error ?? (result.isCut ? 'cut' : 'whole');
        this.run.note(`caller: ${attempt} got ${result.status} after ${ms} ms, ${end}`);
        done(result);
      };
      const request = http.request(
        {
          host: router.ip,
          port: 8783,
          path,
          method: method ?? (body === undefined ? 'GET' : 'POST'),
          agent: this.agent,
          headers: {
            Host: host,
            'Attempt-Id': attempt,
            'Deadline-Ms': String(deadlineMs),
            ...headers,
          },
        },
        (response) => {
          result.status = response.statusCode;
          result.headers = response.headers;
          response.setEncoding('latin1');
          response.on('data', (text) => {
            result.body += text;
            onData?.(text, result);
          });
          response.on('end', () => finish({ isCut: !response.complete }));
          response.on('error', () => finish({ isCut: true }));
          response.on('close', () => finish({ isCut: !response.complete }));
        },
      );
      request.on('socket', () => (result.wasKept = request.reusedSocket));
      request.on('error', (error) => finish({ error: error.code ?? error.message }));
      request.setTimeout(deadlineMs + 3_000, () => {
        finish({ error: 'no answer in time' });
        request.destroy();
      });
      request.end(body);
    });
  }
}

export { net, http };
