/** The processes of a day: a store with a fault proxy before it, engines and routers, on loopback addresses. */
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { buildSync } from 'esbuild';
import { sleep } from '@poplarpick/load';
import { FaultProxy, PlatformStore } from '@poplarpick/stand-ins';
import type { EngineRecord } from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import { DayEngine } from './day-engine.ts';
import { DAY_ROUTES, DayService } from './day-plan.ts';
import { DayRouter } from './day-router.ts';
import { findNetwork } from './loopback-network.ts';

/** Options of a `DaySite`. */
export interface DaySiteOptions {
  seed: number;
  routers?: number;
  /** Share of the engines' answers that have neither a length nor chunks. */
  unframedShare?: number;
  /** Checkout whose deploy file and bundle of the router are used; the working directory by default. */
  checkout?: string | undefined;
  /** Folder for logs and settings, which is kept; a temporary one by default. */
  keep?: string | undefined;
}

const ENGINE_ENTRY = fileURLToPath(
  new URL('../../../stand-ins/src/stream-engine/stream-engine-process.ts', import.meta.url),
);
const ENGINES: Record<DayService, number> = { [DayService.Model]: 6, [DayService.Application]: 3 };
const ZONES = ['hall-a', 'hall-b', 'hall-c'];
const REGION = 'region';
const DEFAULT_ROUTERS = 4;
const FIRST_ROUTER = 10;
const FIRST_ENGINE = 100;
/** Every so many engines one is behind a fault proxy; the others are reached directly. */
const PROXY_INTERVAL = 3;
const READINESS_INTERVAL_MS = 400;
const READY_TIMEOUT_MS = 20_000;
const SETTLE_MS = 1_000;

/** The processes of a day. */
export class DaySite {
  readonly store = new PlatformStore();
  readonly records: EngineRecord[] = [];
  readonly engines: DayEngine[] = [];
  readonly routers: DayRouter[] = [];
  readonly folder: string;
  private readonly options: DaySiteOptions;
  private readonly network: string;
  private link: FaultProxy | undefined;
  private readinessTimer: NodeJS.Timeout | undefined;
  private configurationVersion = 0;

  private constructor(options: DaySiteOptions, network: string) {
    this.options = options;
    this.network = network;
    this.folder = options.keep ?? mkdtempSync(join(tmpdir(), 'poplarpick-day-'));
    mkdirSync(this.folder, { recursive: true });
  }

  /** Starts all processes and waits until the routers take callers. */
  static async start(options: DaySiteOptions): Promise<DaySite> {
    const site = new DaySite(options, await findNetwork());
    try {
      await site.startAll();
    } catch (error) {
      await site.stop();
      throw error;
    }
    return site;
  }

  /** The fault proxy between the routers and the store. */
  get storeLink(): FaultProxy {
    if (this.link === undefined) throw new Error('the store has not been started');
    return this.link;
  }

  /** Stores the next version of the configuration. */
  publishConfiguration(): void {
    this.configurationVersion += 1;
    this.store.put('op/config', createConfiguration(this.configurationVersion));
  }

  async stop(): Promise<void> {
    clearInterval(this.readinessTimer);
    await Promise.all(this.routers.map((router) => router.stop()));
    await Promise.all(this.engines.map((engine) => engine.stop()));
    this.link?.stop();
    await this.store.stop();
    if (this.options.keep === undefined) rmSync(this.folder, { recursive: true, force: true });
  }

  private async startAll(): Promise<void> {
    await this.store.start();
    this.link = await new FaultProxy({ target: this.store.address }).start();
    this.publishConfiguration();
    this.addEngines();
    await Promise.all(this.engines.map((engine) => engine.start()));
    this.addRouters(this.link.address);
    for (const router of this.routers) router.start(true);
    this.readinessTimer = setInterval(() => {
      for (const router of this.routers) void router.checkReadiness();
    }, READINESS_INTERVAL_MS);
    const until = performance.now() + READY_TIMEOUT_MS;
    while (this.routers.some(({ isInRotation }) => !isInRotation)) {
      if (performance.now() > until) throw new Error('the routers were not ready in time');
      await sleep(READINESS_INTERVAL_MS);
    }
    await sleep(SETTLE_MS);
  }

  private addEngines(): void {
    const { seed, unframedShare } = this.options;
    const program = join(this.folder, 'stream-engine.cjs');
    buildSync({
      entryPoints: [ENGINE_ENTRY],
      outfile: program,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'cjs',
      logLevel: 'error',
    });
    for (const service of Object.values(DayService)) {
      for (let count = 0; count < ENGINES[service]; count += 1) {
        const index = this.engines.length;
        const options = {
          service,
          program,
          host: `${this.network}.${FIRST_ENGINE + index}`,
          store: this.store,
          zone: pickZone(index),
          seed,
          unframedShare,
          isProxied: index % PROXY_INTERVAL === 0,
          onRecord: (record: EngineRecord) => void this.records.push(record),
        };
        this.engines.push(new DayEngine(index, options));
      }
    }
  }

  private addRouters(storeAddress: string): void {
    const { routers = DEFAULT_ROUTERS, checkout = '.' } = this.options;
    const ips = Array.from({ length: routers }, (_, i) => `${this.network}.${FIRST_ROUTER + i}`);
    ips.forEach((ip, index) => {
      const zones = Object.fromEntries(ZONES.map((zone) => [zone, REGION]));
      const name = `front-${index}`;
      const common = {
        ip,
        name,
        zone: pickZone(index),
        zones,
        seeds: ips.slice(0, 3),
        storeAddress,
      };
      const folders = { checkout: resolve(checkout), folder: this.folder };
      this.routers.push(new DayRouter({ ...common, ...folders }));
    });
  }
}

function pickZone(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

function createConfiguration(version: number): unknown {
  return {
    version,
    routes: DAY_ROUTES.map(({ name, service, kind, isResumable, maxAttempts, timeoutMs }) => ({
      name,
      service,
      kind,
      maxAttempts,
      timeoutMs,
      host: 'h.example',
      pathPrefix: `/${name}/`,
      resumable: isResumable,
      targetLatencyMs: 300,
      gapAimMs: 300,
      priority: 1,
      public: true,
    })),
    services: Object.values(DayService).map((name) => ({
      name,
      healthCheck: '/health',
      maxConnections: 500,
      protocol: 'h1',
      tls: false,
    })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, idleTimeoutMs: 15_000 },
    tenants: [],
  };
}
