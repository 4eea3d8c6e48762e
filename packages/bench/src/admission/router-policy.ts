/** The routers' own placement and admission in simulated time: one state per router, and reports between them. */
import type { Endpoint, InFlightRequest } from '@poplarpick/decisions';
import { CallKind } from '@poplarpick/decisions';
import type { Route } from '@poplarpick/decisions';
import {
  CallLatencyRecorder,
  CallPlacer,
  sharedSegments,
  RouterState,
} from '@poplarpick/forwarder';
import type { Placement } from '@poplarpick/forwarder';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import type { Random } from '@poplarpick/load';
import { PlatformHeaderCodec } from '@poplarpick/platform/platform-header-codec';
import type { EngineParameters } from './engine-model.ts';
import { ReplayClock } from './replay-clock.ts';
import { RoutingPolicy } from './routing-policy.ts';
import type { RoutingDecision } from './routing-policy.ts';
import type { Arrival, RequestKind } from './workload.ts';

const POOL = 'pool';
const ZONE = 'z';
const REPORT_PERIOD_MS = 100;
/** Every fourth report also carries the usage of the workspaces. */
const WORKSPACE_REPORT_INTERVAL = 4;
const SHARE_WINDOW_MS = 4_000;

/** An accepted request with the state that its end must update. */
interface AcceptedCall {
  router: number;
  placement: Placement;
  inFlight: InFlightRequest;
  isWithinShare: boolean;
  latencyRecorder: CallLatencyRecorder;
}

/** Options of a `RouterPolicy`. */
export interface RouterPolicyOptions {
  routers: number;
  engines: number;
  engineParameters: EngineParameters;
  kinds: readonly RequestKind[];
  tokensPerSecond: number;
  random: Random;
}

/** Places and admits requests with the code of the routers, one `RouterState` for each of them. */
export class RouterPolicy extends RoutingPolicy {
  override readonly name = 'routers';
  private readonly clock = new ReplayClock();
  private readonly states: RouterState[];
  private readonly placers: CallPlacer[];
  private readonly routes: Map<string, Route>;
  private readonly acceptedCalls = new Map<number, AcceptedCall>();
  private sequence = 0;

  constructor(options: RouterPolicyOptions) {
    super();
    this.routes = new Map(options.kinds.map((kind) => [kind.name, buildRoute(kind)]));
    this.states = Array.from({ length: options.routers }, () => this.createRouterState(options));
    this.placers = this.states.map((state) => new CallPlacer(state));
  }

  override decide(
    arrival: Arrival,
    attempt: { isRetry: boolean; remainingMs: number; now: number },
  ): RoutingDecision {
    this.clock.nowMs = attempt.now;
    const { workspace, prompt, kind } = arrival;
    const route = this.routes.get(kind.name);
    const state = this.states[arrival.routerIndex];
    const placer = this.placers[arrival.routerIndex];
    if (route === undefined || state === undefined || placer === undefined) {
      throw new Error(`no router ${arrival.routerIndex}`);
    }
    const request = { route, pool: POOL, prompt, bodyBytes: 0, excluded: new Set<string>() };
    const isCallerRetry = state.shares.recordArrival(workspace, prompt);
    const best = placer.place(request);
    if (best === undefined) return { engineIndex: undefined, retryAfterMs: 500 };
    const { remainingMs } = attempt;
    const shareUsage = state.shares.measureUsage(workspace);
    const { placement, decision } = placer.admitAtBest(
      { route, remainingMs, shareUsage, isCallerRetry },
      best,
      (maxWaitMs) => placer.place({ ...request, maxWaitMs }),
    );
    if (placement === undefined) {
      state.shares.recordRefusal(workspace, prompt);
      if (!decision.isForShare) state.pools.surplusLimiter(POOL).recordRefused();
      return { engineIndex: undefined, retryAfterMs: decision.retryAfterMs };
    }
    state.shares.recordGrant(workspace, prompt, decision.isOverShare);
    state.recordCached(placement.record, sharedSegments(prompt));
    const kvCacheTokens = prompt.inputTokens + prompt.outputTokens;
    const inFlight = placement.record.load.recordSent(
      placement.prefillTokens,
      kvCacheTokens,
      attempt.now,
    );
    this.acceptedCalls.set(arrival.id, {
      router: arrival.routerIndex,
      placement,
      inFlight,
      isWithinShare: shareUsage.shareUsed < 1,
      latencyRecorder: new CallLatencyRecorder({
        state,
        route,
        pool: POOL,
        arrivedAt: attempt.now,
      }),
    });
    return { engineIndex: Number(placement.record.endpoint.id), retryAfterMs: 0 };
  }

  override recordFirstToken({ id }: Arrival, now: number): void {
    this.clock.nowMs = now;
    const call = this.acceptedCalls.get(id);
    if (call === undefined) return;
    call.latencyRecorder.recordFirstEvent(call, call.isWithinShare);
    call.placement.record.load.recordBytes(now);
  }

  override recordEnded({ id }: Arrival, now: number): void {
    this.clock.nowMs = now;
    const call = this.acceptedCalls.get(id);
    if (call === undefined) return;
    this.acceptedCalls.delete(id);
    call.latencyRecorder.recordDuration(call);
    call.placement.record.load.recordEnded(call.inFlight);
  }

  override tick(now: number): void {
    if (now < (this.sequence + 1) * REPORT_PERIOD_MS) return;
    this.clock.nowMs = now;
    this.sequence += 1;
    for (const { load } of this.states.flatMap((state) => [...state.endpoints.all()])) {
      load.recordBytes(now);
    }
    const reports = this.states.map((state, index) => ({
      from: `127.0.0.1:${index + 1}`,
      startedAt: 1,
      sequence: this.sequence,
      ...state.buildReport(this.sequence % WORKSPACE_REPORT_INTERVAL === 1),
    }));
    for (const [index, state] of this.states.entries()) {
      for (const [from, report] of reports.entries()) {
        if (from !== index && state.peers.accept(report, now)) state.applyReport(report);
      }
    }
  }

  private createRouterState(options: RouterPolicyOptions): RouterState {
    const { engines, engineParameters, kinds, tokensPerSecond, random } = options;
    const state = new RouterState({
      clock: this.clock,
      log: createLogger({ level: LogLevel.Silent }),
      protocol: new PlatformHeaderCodec(),
      dataCentre: ZONE,
      random: () => random.uniform(),
      bounds: {
        revocationMs: 5_000,
        shareWindowMs: SHARE_WINDOW_MS,
        retryRatio: 0.2,
        retrySlack: 50,
        retryWindowMs: 10_000,
      },
    });
    state.applyRoutingTable({
      version: 1,
      routes: kinds.map(buildRoute),
      pools: [
        {
          name: POOL,
          connectionLimit: 500,
          batch: { cacheTokens: engineParameters.kvCacheTokens },
        },
      ],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      tokensPerSecond,
    });
    for (let id = 0; id < engines; id += 1)
      state.endpoints.update(buildEndpoint(id, engineParameters));
    return state;
  }
}

function buildRoute(kind: RequestKind): Route {
  return {
    name: kind.name,
    host: 'h',
    prefix: `/${kind.name}/`,
    kind: CallKind.Stream,
    timeoutMs: kind.deadlineMs,
    objectiveMs: kind.objectiveMs,
    pauseMs: 0,
    targets: [{ pool: POOL, weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
  };
}

function buildEndpoint(id: number, engineParameters: EngineParameters): Endpoint {
  return {
    id: String(id),
    startedAt: 0,
    pool: POOL,
    address: `127.0.0.1:${id + 1}`,
    dataCentre: ZONE,
    slots: engineParameters.slots,
    isDraining: false,
  };
}
