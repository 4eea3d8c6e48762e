/** A site of the users' platform on loopback: a stand-in store, stand-in engines and real router processes. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { stringify } from 'smol-toml';
import { sleep } from '@poplarpick/load';
import { FaultProxy, findFreePort, PlatformEngine, PlatformStore } from '@poplarpick/stand-ins';

/** API keys of the site's workspaces, one each. */
export const PLATFORM_API_KEYS = Array.from({ length: 16 }, (_, index) => `key-${index}`);

const FIRST_IP = '127.0.0.2';
const NODE_BINARY = 'target/node';
const PROGRAM = 'target/router.cjs';
const SERVICE = 'model';
const ENGINE_SLOTS = 96;
const EVENT_PAUSE_MS = 20;
const TOKENS_PER_SECOND = 10_000_000;
const CACHE_TOKENS = 1_000_000;
const READY_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 20;
const MAX_LOG_LINES = 10_000;

/** Options of a `PlatformSite`. */
export interface PlatformSiteOptions {
  routers?: number;
  engines?: number;
  /** Number of events in each stream. */
  events?: number;
  eventPauseMs?: number;
  /** Throughput that the configuration states for the engines; below the demand, routers refuse requests. */
  tokensPerSecond?: number;
  /** The `bounds` table of the routers' settings. */
  bounds?: Record<string, number>;
  /** Whether the routers write CPU profiles on exit. */
  isProfiled?: boolean;
}

/** A stand-in engine and the fault proxy through which the routers reach it. */
export interface SiteEngine {
  engine: PlatformEngine;
  proxy: FaultProxy;
}

/** A router process. */
export interface SiteRouter {
  ip: string;
  process: ChildProcess;
  /** The most recent lines of its log. */
  logLines: string[];
}

/** Ports of the routers. All routers use the same ports, each on a loopback address of its own. */
interface SitePorts {
  callers: number;
  readiness: number;
  peers: number;
}

/** A running site. */
export class PlatformSite {
  readonly store = new PlatformStore();
  readonly engines: SiteEngine[] = [];
  readonly routers: SiteRouter[] = [];
  /** Fault proxies between the routers and the store, by the router's IP address. */
  readonly storeProxies = new Map<string, FaultProxy>();
  readonly profileFolder: string;
  private readonly options: PlatformSiteOptions;
  private readonly folder = mkdtempSync(join(tmpdir(), 'poplarpick-platform-'));
  private readonly ports: SitePorts;

  private constructor(options: PlatformSiteOptions, ports: SitePorts) {
    this.options = options;
    this.ports = ports;
    this.profileFolder = join(this.folder, 'profiles');
  }

  /** Starts the stand-ins and the routers, and waits until every router is ready. */
  static async start(options: PlatformSiteOptions = {}): Promise<PlatformSite> {
    const ports = {
      callers: await findFreePort(FIRST_IP),
      readiness: await findFreePort(FIRST_IP),
      peers: await findFreePort(FIRST_IP),
    };
    const site = new PlatformSite(options, ports);
    try {
      await site.startEngines();
      await site.startStoreProxies();
      for (const ip of site.routerIps()) site.startRouter(ip);
      for (const ip of site.routerIps()) await site.waitUntilReady(ip);
    } catch (error) {
      await site.stop();
      throw error;
    }
    return site;
  }

  /** Addresses on which the routers accept callers. */
  get callerAddresses(): string[] {
    return this.routerIps().map((ip) => `${ip}:${this.ports.callers}`);
  }

  get routerPids(): number[] {
    return this.routers.map(({ process }) => process.pid ?? 0);
  }

  /** Starts a router process, which `stop` ends with the others. */
  startRouter(ip: string): SiteRouter {
    const file = join(this.folder, `${ip}.toml`);
    writeFileSync(file, stringify(this.routerSettings(ip)));
    const profiling = ['--cpu-prof', `--cpu-prof-dir=${this.profileFolder}`];
    const flags = this.options.isProfiled === true ? profiling : [];
    const child = spawn(resolve(NODE_BINARY), [...flags, resolve(PROGRAM)], {
      env: { POPLARPICK_CONFIG: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const router: SiteRouter = { ip, process: child, logLines: [] };
    createInterface({ input: child.stdout }).on('line', (line) => {
      router.logLines.push(line);
      if (router.logLines.length > MAX_LOG_LINES) router.logLines.shift();
    });
    this.routers.push(router);
    return router;
  }

  async waitUntilReady(ip: string): Promise<void> {
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    while (!(await isReady(`http://${ip}:${this.ports.readiness}/v1/readiness`))) {
      if (performance.now() > endsAt) throw new Error(`the router at ${ip} was not ready in time`);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Signals the running routers, by default for an orderly stop, and waits until they have exited. */
  async stopRouters(signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const running = this.routers
      .map(({ process }) => process)
      .filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null);
    const exits = running.map((process) => once(process, 'exit'));
    for (const process of running) process.kill(signal);
    await Promise.all(exits);
  }

  async stop(): Promise<void> {
    await this.stopRouters('SIGKILL');
    for (const proxy of this.storeProxies.values()) proxy.stop();
    for (const { engine, proxy } of this.engines) {
      proxy.stop();
      await engine.stop();
    }
    await this.store.stop();
    if (this.options.isProfiled !== true) rmSync(this.folder, { recursive: true });
  }

  /** Stores a version of the configuration in which only `keys` are valid. */
  publishConfiguration(version: number, keys: readonly string[] = PLATFORM_API_KEYS): void {
    const { tokensPerSecond = TOKENS_PER_SECOND } = this.options;
    this.store.put('op/config', buildConfiguration(version, tokensPerSecond, keys));
  }

  /** Builds the store entry of an engine, with the address of its fault proxy. */
  buildStoreEntry({ engine, proxy }: SiteEngine, overrides: Record<string, unknown> = {}): unknown {
    return engine.createStoreEntry(SERVICE, {
      slots: ENGINE_SLOTS,
      address: proxy.address,
      ...overrides,
    });
  }

  private routerIps(): string[] {
    const { routers = 1 } = this.options;
    return Array.from({ length: routers }, (_, index) => `127.0.0.${index + 2}`);
  }

  private async startEngines(): Promise<void> {
    await this.store.start();
    const { engines = 2, events = 5, eventPauseMs = EVENT_PAUSE_MS } = this.options;
    this.publishConfiguration(1);
    for (let index = 0; index < engines; index += 1) {
      const id = `engine-${index}`;
      const engine = await new PlatformEngine({ id, events, eventPauseMs }).start();
      const proxy = await new FaultProxy({ target: engine.address }).start();
      this.engines.push({ engine, proxy });
      this.store.put(`servers/${id}`, this.buildStoreEntry({ engine, proxy }));
    }
  }

  private async startStoreProxies(): Promise<void> {
    for (const ip of this.routerIps()) {
      this.storeProxies.set(ip, await new FaultProxy({ target: this.store.address }).start());
    }
  }

  private routerSettings(ip: string): Record<string, unknown> {
    const { callers, readiness, peers } = this.ports;
    return {
      node: `router-${ip}`,
      ip,
      zone: 'z',
      portRange: [peers, peers],
      seeds: this.routerIps().map((seed) => `${seed}:${peers}`),
      bootstrap: true,
      listen: { front: `${ip}:${callers}`, ready: `${ip}:${readiness}` },
      bounds: this.options.bounds ?? {},
      provider: { address: this.storeProxies.get(ip)?.address ?? '' },
    };
  }
}

function buildConfiguration(version: number, tokensPerS: number, keys: readonly string[]): unknown {
  const common = { host: 'h.example', service: SERVICE, targetLatencyMs: 500 };
  return {
    version,
    routes: [
      { ...common, name: 'stream', pathPrefix: '/stream/', kind: 'stream', timeoutMs: 15_000 },
      { ...common, name: 'once', pathPrefix: '/once/', kind: 'non_idempotent', timeoutMs: 1_500 },
      {
        ...common,
        name: 'empty',
        pathPrefix: '/empty/',
        kind: 'idempotent',
        timeoutMs: 1_500,
        service: 'none',
      },
    ],
    services: [
      { name: SERVICE, maxConnections: 500, engine: { kvTokens: CACHE_TOKENS } },
      { name: 'none' },
    ],
    limits: { tokensPerS, maxBodyBytes: 100_000 },
    tenants: keys.map((key, index) => ({ name: `space-${index}`, apiKeys: [key] })),
  };
}

async function isReady(url: string): Promise<boolean> {
  return new Promise((done) => {
    const exchange = get(url, (response) => {
      response.resume();
      done(response.statusCode === 200);
    });
    exchange.once('error', () => done(false));
  });
}
