import { expect } from 'chai';
import { CallKind } from '@poplarpick/decisions';
import type { Endpoint, Prompt, Route } from '@poplarpick/decisions';
import { createLogger, LogLevel, RequestError, SystemClock } from '@poplarpick/kernel';
import { decodeReport, encodeReport } from '../peers/report-codec.ts';
import { RouterState } from '../router-state.ts';
import { CallAdmission } from './call-admission.ts';
import { CallLatencyRecorder } from './call-latency-recorder.ts';
import { CallPlacer } from './call-placer.ts';
import type { CallProtocol } from './call-protocol.ts';
import type { Placement } from './endpoint-evaluator.ts';

const POOL = 'pool';
const PUNCTUAL_ROUTERS = 27;
const REFUSALS = 60;
const SERVED_PER_ROUTER = 40;

const ROUTE: Route = {
  name: 'route',
  host: 'h',
  prefix: '/',
  kind: CallKind.Stream,
  timeoutMs: 10_000,
  objectiveMs: 400,
  pauseMs: 500,
  targets: [{ pool: POOL, weight: 1 }],
  maxAttempts: 1,
  isPublic: false,
  isResumable: false,
};

const ENDPOINT: Endpoint = {
  id: 'engine',
  startedAt: 1,
  pool: POOL,
  address: '127.0.0.1:1',
  dataCentre: 'a',
  slots: 8,
  isDraining: false,
};

const PROMPT: Prompt = {
  model: 'm',
  segments: [],
  inputTokens: 500,
  outputTokens: 50,
  maxOutputTokens: 50,
};

class TestClock extends SystemClock {
  nowMs = 1_000;

  override monotonic(): number {
    return this.nowMs;
  }
}

/** One router without sockets. */
class TestRouter {
  readonly clock = new TestClock();
  readonly state: RouterState;
  private readonly placer: CallPlacer;

  constructor(readsLate = false) {
    this.state = new RouterState({
      clock: this.clock,
      log: createLogger({ level: LogLevel.Silent }),
      protocol: {} as CallProtocol,
      dataCentre: 'a',
      bounds: {
        revocationMs: 5_000,
        shareWindowMs: 4_000,
        retryRatio: 0.2,
        retrySlack: 50,
        retryWindowMs: 10_000,
      },
    });
    Object.defineProperty(this.state.eventLoop, 'readsLate', { value: readsLate });
    this.state.applyRoutingTable({
      version: 1,
      routes: [ROUTE],
      pools: [{ name: POOL, connectionLimit: 500, batch: { cacheTokens: 800_000 } }],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      tokensPerSecond: 1_000_000,
    });
    this.state.endpoints.update(ENDPOINT);
    this.placer = new CallPlacer(this.state);
  }

  /** Refuses a call within its share for its wait. */
  refuse(): void {
    const { state, placer } = this;
    const admission = new CallAdmission({
      state,
      placer,
      route: ROUTE,
      pool: POOL,
      binding: { isResumption: false },
    } as unknown as ConstructorParameters<typeof CallAdmission>[0]);
    const busy = { ...this.place(), waitMs: 1_000 };
    expect(admission.admit(busy, 10_000, () => undefined)).to.be.instanceOf(RequestError);
  }

  /** Serves a call within its share on time. */
  serve(): void {
    const { clock, state } = this;
    const placement = this.place();
    const inFlight = placement.record.load.recordSent(500, 550, clock.nowMs);
    const recorder = new CallLatencyRecorder({
      state,
      route: ROUTE,
      pool: POOL,
      arrivedAt: clock.nowMs,
      outputTokens: PROMPT.outputTokens,
    });
    clock.nowMs += 40;
    recorder.recordFirstEvent({ placement, inFlight }, true);
    placement.record.load.recordEnded(inFlight);
  }

  /** Whether a call of a workspace that has used up its share and its part of the surplus is accepted. */
  acceptsOverShare(): boolean {
    const shareUsage = { shareUsed: 1.5, surplusUsed: 1.5 };
    const request = { route: ROUTE, remainingMs: 10_000, shareUsage, isCallerRetry: false };
    return this.placer.admit(request, this.place()).isAccepted;
  }

  /** Applies the report of another router. */
  receiveFrom(other: TestRouter, from: string): void {
    const body = other.state.buildReport(true);
    const message = encodeReport({ from, startedAt: 1, sequence: 1, ...body });
    const report = decodeReport(message ?? Buffer.alloc(0));
    this.state.peers.accept(report, this.clock.nowMs);
    this.state.applyReport(report);
  }

  place(): Placement {
    const request = { route: ROUTE, pool: POOL, prompt: PROMPT, bodyBytes: 0 };
    const placement = this.placer.preview({ ...request, excluded: new Set<string>() });
    if (placement === undefined) throw new Error('no endpoint');
    return placement;
  }
}

function repeat(times: number, action: () => void): void {
  for (let turn = 0; turn < times; turn += 1) action();
}

describe('a router that reads late', () => {
  it('does not take the surplus of idle endpoints from the callers of 27 punctual ones', () => {
    const late = new TestRouter(true);
    repeat(REFUSALS, () => late.refuse());
    const routers = Array.from({ length: PUNCTUAL_ROUTERS }, () => new TestRouter());
    for (const router of routers) repeat(SERVED_PER_ROUTER, () => router.serve());
    const [judge = new TestRouter(), ...others] = routers;
    judge.receiveFrom(late, '10.0.0.1:1');
    for (const [index, other] of others.entries()) judge.receiveFrom(other, `10.0.1.${index}:1`);
    expect(judge.state.countRouters()).to.equal(PUNCTUAL_ROUTERS + 1);
    expect(judge.state.surplusWaitLimit(POOL)).to.equal(0.3);
    expect(judge.acceptsOverShare()).to.equal(true);
  });
});

describe('a punctual router', () => {
  it('takes the surplus back when the callers of another one are refused for the load of endpoints', () => {
    const busy = new TestRouter();
    repeat(REFUSALS, () => busy.refuse());
    const judge = new TestRouter();
    repeat(SERVED_PER_ROUTER, () => judge.serve());
    judge.receiveFrom(busy, '10.0.0.1:1');
    expect(judge.acceptsOverShare()).to.equal(false);
  });
});
