/**
 * Measures the processor time that a platform router spends on the decisions about one request (share usage,
 * placement and admission) and on one report of a peer, for fleets of different sizes.
 */
import { CallKind } from '@poplarpick/decisions';
import type { Endpoint, Prompt, Route } from '@poplarpick/decisions';
import { CallPlacer, RouterState } from '@poplarpick/forwarder';
import type { PeerReport } from '@poplarpick/forwarder';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import { Random } from '@poplarpick/load';
import { ReplayClock } from '../admission/replay-clock.ts';
import { PlatformHeaderCodec } from '@poplarpick/platform/platform-header-codec';

const POOL = 'pool';
/** Time between two requests at the router, in ms. */
const REQUEST_INTERVAL_MS = 5;
/** Requests between two reports of each peer. */
const REQUESTS_PER_REPORT = 20;
const ROUNDS = 10;
const REQUESTS_PER_ROUND = 200;
const PREFIXES = 100;
const MICROSECONDS_PER_MS = 1_000;

const ROUTE: Route = {
  name: 'stream',
  host: 'h',
  prefix: '/',
  kind: CallKind.Stream,
  timeoutMs: 15_000,
  objectiveMs: 500,
  pauseMs: 300,
  targets: [{ pool: POOL, weight: 1 }],
  maxAttempts: 1,
  isPublic: false,
  isResumable: false,
};

/** Size of a fleet. */
export interface FleetSize {
  routers: number;
  endpoints: number;
  workspaces: number;
}

/** Processor times in microseconds, each the least of several rounds. */
export interface PlacementTime {
  perRequest: number;
  perReport: number;
}

/**
 * Measures one router of each fleet, in which every router has requests at every endpoint. The fleets take turns
 * in each round, so that other work on the machine slows them all.
 */
export function measurePlacementTimes(sizes: readonly FleetSize[]): PlacementTime[] {
  const measurements = sizes.map((size) => new PlacementMeasurement(size));
  const rounds = Array.from({ length: ROUNDS }, () =>
    measurements.map((measurement) => measurement.runRound()),
  );
  return sizes.map((_, index) => leastTimes(rounds.flatMap((times) => times[index] ?? [])));
}

function leastTimes(times: readonly PlacementTime[]): PlacementTime {
  return {
    perRequest: Math.min(...times.map(({ perRequest }) => perRequest)),
    perReport: Math.min(...times.map(({ perReport }) => perReport)),
  };
}

/** One router in simulated time that receives requests, and the reports of its peers. */
class PlacementMeasurement {
  private readonly size: FleetSize;
  private readonly clock = new ReplayClock();
  private readonly state: RouterState;
  private readonly placer: CallPlacer;
  private readonly random = new Random(1);
  private sequence = 0;
  private requests = 0;

  constructor(size: FleetSize) {
    this.size = size;
    this.state = createState(this.clock, size);
    this.placer = new CallPlacer(this.state);
  }

  runRound(): PlacementTime {
    let requestMs = 0;
    let reportMs = 0;
    for (let index = 0; index < REQUESTS_PER_ROUND; index += 1) {
      if (index % REQUESTS_PER_REPORT === 0) reportMs += measureMs(() => this.receiveReports());
      this.clock.nowMs += REQUEST_INTERVAL_MS;
      requestMs += measureMs(() => this.receiveRequest());
    }
    const reports = (REQUESTS_PER_ROUND / REQUESTS_PER_REPORT) * (this.size.routers - 1);
    return {
      perRequest: (requestMs * MICROSECONDS_PER_MS) / REQUESTS_PER_ROUND,
      perReport: (reportMs * MICROSECONDS_PER_MS) / reports,
    };
  }

  private receiveReports(): void {
    this.sequence += 1;
    for (let peer = 1; peer < this.size.routers; peer += 1) {
      const report = buildReport(this.state, this.size, peer, this.sequence);
      if (this.state.peers.accept(report, this.clock.nowMs)) this.state.applyReport(report);
    }
  }

  private receiveRequest(): void {
    const workspace = `workspace-${this.random.integer(this.size.workspaces)}`;
    this.requests += 1;
    decide(this.state, this.placer, workspace, createPrompt(this.random, this.requests));
  }
}

function decide(state: RouterState, placer: CallPlacer, workspace: string, prompt: Prompt): void {
  const isCallerRetry = state.shares.recordArrival(workspace, prompt);
  const shareUsage = state.shares.measureUsage(workspace);
  const request = { route: ROUTE, pool: POOL, prompt, bodyBytes: 0, excluded: new Set<string>() };
  const placement = placer.place(request);
  if (placement === undefined) throw new Error('no endpoint');
  const admission = { route: ROUTE, remainingMs: ROUTE.timeoutMs, shareUsage, isCallerRetry };
  const { isAccepted, isOverShare } = placer.admit(admission, placement);
  if (isAccepted) state.shares.recordGrant(workspace, prompt, isOverShare);
  else state.shares.recordRefusal(workspace, prompt);
}

function createState(clock: Clock, size: FleetSize): RouterState {
  const state = new RouterState({
    clock,
    log: createLogger({ level: LogLevel.Silent }),
    protocol: new PlatformHeaderCodec(),
    dataCentre: 'z-0',
    bounds: {
      revocationMs: 5_000,
      shareWindowMs: 4_000,
      retryRatio: 0.2,
      retrySlack: 50,
      retryWindowMs: 10_000,
    },
  });
  state.applyRoutingTable({
    version: 1,
    routes: [ROUTE],
    pools: [{ name: POOL, connectionLimit: 500, batch: { cacheTokens: 800_000 } }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tokensPerSecond: 1_000_000,
  });
  for (let index = 0; index < size.endpoints; index += 1) {
    state.endpoints.update(createEndpoint(index));
  }
  return state;
}

function createEndpoint(index: number): Endpoint {
  return {
    id: `endpoint-${index}`,
    startedAt: 1,
    pool: POOL,
    address: `127.0.0.1:${index + 1}`,
    dataCentre: `z-${index % 4}`,
    slots: 32,
    isDraining: false,
  };
}

function buildReport(
  state: RouterState,
  size: FleetSize,
  peer: number,
  sequence: number,
): PeerReport {
  const endpoints = [...state.endpoints.all()];
  return {
    from: `127.0.0.${peer}:1`,
    startedAt: 1,
    sequence,
    version: 1,
    loads: endpoints.map(({ incarnationHash }) => [incarnationHash, 1, 400, 1, 6_000]),
    workspaces: Array.from({ length: size.workspaces }, (_, index) => [
      `workspace-${index}`,
      20_000 * index,
      10_000 * index,
      0,
    ]),
    kept: [],
    lateRates: [],
    refused: [],
  };
}

function createPrompt(random: Random, id: number): Prompt {
  return {
    model: 'm',
    segments: [
      { id: `shared-${random.integer(PREFIXES)}`, tokens: 5_000 },
      { id: `own-${id}`, tokens: 800 },
    ],
    inputTokens: 5_800,
    maxOutputTokens: 300,
    outputTokens: 200,
  };
}

function measureMs(run: () => void): number {
  const startedAt = performance.now();
  run();
  return performance.now() - startedAt;
}
