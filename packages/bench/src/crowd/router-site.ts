/**
 * One router on the users' platform, as a process of its own with lowered limits, before a stand-in store and a
 * stand-in engine.
 */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { sleep } from '@poplarpick/load';
import { EngineBehaviour, PlatformEngine, PlatformStore } from '@poplarpick/stand-ins';
import { CALLERS_PORT, DayRouter, PEER_PORTS, READINESS_PORT } from '../stream-day/day-router.ts';
import type { DayRouterLimits } from '../stream-day/day-router.ts';
import { findNetwork } from '../stream-day/loopback-network.ts';
import type { CrowdHead } from './crowd.ts';
import type { CrowdTarget } from './crowd-player.ts';

/** The API key of the only workspace. */
const API_KEY = 'key-of-space';
const SERVICE = 'app';
const ROUTER_NAME = 'front-0';
const STREAM_EVENTS = 3;
const READY_TIMEOUT_MS = 20_000;
const POLL_PERIOD_MS = 100;
/** Larger than what any crowd uses up, so that only the router's own limits count. */
const ENGINE_SLOTS = 1_000;
const METRICS_PORT = 9_464;

/** Part of a target that makes the engine hold its answer back. */
export const HELD = 'held';

/** A listener of a router. */
export enum RouterListener {
  Callers = 'callers',
  Readiness = 'readiness',
  Peers = 'peers',
  Metrics = 'metrics',
}

/** Options of a `RouterSite`. */
export interface RouterSiteOptions {
  limits: Partial<DayRouterLimits>;
  /** Body of each answer without events; short by default. */
  answer?: string | undefined;
  /** Bytes of each event of a stream; short by default. */
  eventBytes?: number | undefined;
  /** Checkout whose router is run; the working directory by default. */
  checkout?: string;
}

/** A router process between stand-ins. */
export class RouterSite {
  private readonly store = new PlatformStore();
  private readonly engine: PlatformEngine;
  private readonly folder = mkdtempSync(join(tmpdir(), 'poplarpick-crowd-'));
  private readonly host: string;
  private router: DayRouter | undefined;

  private constructor({ answer, eventBytes }: RouterSiteOptions, network: string) {
    this.engine = new PlatformEngine({
      id: 'engine',
      ...(answer === undefined ? {} : { answer }),
      ...(eventBytes === undefined ? {} : { events: STREAM_EVENTS, eventBytes, eventPauseMs: 1 }),
    });
    this.host = `${network}.10`;
  }

  /** Starts all processes and waits until the router is ready. */
  static async start(options: RouterSiteOptions): Promise<RouterSite> {
    const site = new RouterSite(options, await findNetwork());
    try {
      await site.startEngine();
      await site.startRouter(options);
    } catch (error) {
      await site.stop();
      throw error;
    }
    return site;
  }

  /** Id of the router's process; undefined once it has ended. */
  get pid(): number | undefined {
    return this.router?.pid;
  }

  /** Whether a try with this id has run. */
  hasRun(id: string): boolean {
    return this.engine.runs.some(({ requestId }) => requestId === id);
  }

  /** What the router has written to its log. */
  get log(): string {
    return readFileSync(join(this.folder, `${ROUTER_NAME}.log`), 'utf8');
  }

  target(listener: RouterListener): CrowdTarget {
    const { host } = this;
    switch (listener) {
      case RouterListener.Callers:
        return { host, port: CALLERS_PORT };
      case RouterListener.Readiness:
        return { host, port: READINESS_PORT };
      case RouterListener.Peers:
        return { host, port: PEER_PORTS[0] };
      case RouterListener.Metrics:
        return { host, port: METRICS_PORT };
    }
  }

  async stop(): Promise<void> {
    await this.router?.stop();
    await this.engine.stop();
    await this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startEngine(): Promise<void> {
    const { store, engine } = this;
    await store.start();
    await engine.start();
    engine.chooseBehaviour = ({ url = '' }) =>
      url.includes(HELD) ? EngineBehaviour.NoAnswer : EngineBehaviour.CompleteAnswer;
    store.put('op/config', createConfiguration());
    store.put('servers/engine', engine.createStoreEntry(SERVICE, { slots: ENGINE_SLOTS }));
  }

  private async startRouter({ limits, checkout = '.' }: RouterSiteOptions): Promise<void> {
    const router = new DayRouter({
      ip: this.host,
      name: ROUTER_NAME,
      zone: 'z',
      zones: { z: 'region' },
      seeds: [this.host],
      storeAddress: this.store.address,
      checkout: resolve(checkout),
      folder: this.folder,
      limits,
    });
    this.router = router;
    router.start(true);
    const until = performance.now() + READY_TIMEOUT_MS;
    while (!router.isInRotation) {
      if (performance.now() > until) throw new Error('the router was not ready in time');
      await sleep(POLL_PERIOD_MS);
      await router.checkReadiness();
    }
  }
}

/** Head of a request that the router would pass on. */
export function callHead(target: string): CrowdHead {
  const headers = {
    Host: 'h.example',
    'Attempt-Id': 'crowd',
    'Api-Key': API_KEY,
    'Deadline-Ms': '60000',
  };
  return { target, headers };
}

function createConfiguration(): unknown {
  const common = { host: 'h.example', timeoutMs: 60_000, targetLatencyMs: 500, service: SERVICE };
  return {
    version: 1,
    routes: [
      { ...common, name: 'once', pathPrefix: '/once/', kind: 'non_idempotent' },
      { ...common, name: 'stream', pathPrefix: '/stream/', kind: 'stream' },
    ],
    services: [{ name: SERVICE, maxConnections: ENGINE_SLOTS }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'space', apiKeys: [API_KEY] }],
  };
}
