import { expect } from 'chai';
import fc from 'fast-check';
import { CallKind } from '@poplarpick/decisions';
import type { Endpoint, Prompt, Route } from '@poplarpick/decisions';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import { CallPlacer } from '../calls/call-placer.ts';
import { CallProtocol } from '../calls/call-protocol.ts';
import type { CallHead, ProcessQuestionHead, ResponseHead } from '../calls/call-protocol.ts';
import { RouterState } from '../router-state.ts';
import { sharedSegments } from '../shared-segments.ts';
import { RouteExplainer } from './route-explainer.ts';

const POOL = 'pool';
const WORKSPACE = 'w';
const NUM_RUNS = 1_000;

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  prefix: '/',
  kind: CallKind.Idempotent,
  timeoutMs: 9_000,
  objectiveMs: 500,
  pauseMs: 400,
  targets: [{ pool: POOL, weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  isResumable: false,
};

const PROMPT: Prompt = {
  model: 'm',
  segments: [
    { id: 'a', tokens: 4_000 },
    { id: 'b', tokens: 500 },
  ],
  inputTokens: 4_500,
  maxOutputTokens: 300,
  outputTokens: 200,
};

/** Decodes every request as one with the same prompt. */
class FixedProtocol extends CallProtocol {
  override decodeCall(method: string, target: string): CallHead {
    return {
      method,
      target,
      host: 'h',
      requestId: 'id',
      deadlineMs: undefined,
      apiKey: undefined,
      prompt: PROMPT,
      lastEventId: undefined,
      resumedRequestId: undefined,
      forwardedHeaders: [],
    };
  }

  override decodeRequestId(): string | undefined {
    return undefined;
  }

  override encodeRequestId(): string[] {
    return [];
  }

  override encodeAttempt(): string[] {
    return [];
  }

  override encodeProcessQuestion(): ProcessQuestionHead {
    return { method: 'GET', target: '/process', headers: [] };
  }

  override decodeProcessStart(): undefined {
    return undefined;
  }

  override decodeResponse(): ResponseHead {
    throw new Error('no request is sent');
  }
}

interface EndpointSetup {
  isFar: boolean;
  isDraining: boolean;
  isCached: boolean;
  pendingTokens: number;
  failures: number;
  pauseMs: number;
}

const setups = fc.array(
  fc.record({
    isFar: fc.boolean(),
    isDraining: fc.boolean(),
    isCached: fc.boolean(),
    pendingTokens: fc.nat(60_000),
    failures: fc.nat(4),
    pauseMs: fc.constantFrom(0, 0, 0, 5_000),
  }),
  { maxLength: 6 },
);

/** Time between two setups, in ms, after which nothing of the earlier one counts. */
const SETUP_GAP_MS = 60_000;

let nowMs = 0;
let nextEndpoint = 0;

function createState(): RouterState {
  const state = new RouterState({
    clock: { now: () => nowMs, monotonic: () => nowMs } as Clock,
    log: createLogger({ level: LogLevel.Silent }),
    protocol: new FixedProtocol(),
    dataCentre: 'near',
    random: () => 0.5,
    bounds: {
      revocationMs: 5_000,
      shareWindowMs: 4_000,
      retryRatio: 0.2,
      retrySlack: 50,
      retryWindowMs: 10_000,
    },
  });
  const transfer = { bytesPerToken: 18_000, bytesPerMs: 35_000_000 };
  state.applyRoutingTable({
    version: 1,
    routes: [ROUTE],
    pools: [{ name: POOL, connectionLimit: 50, batch: { cacheTokens: 500_000, transfer } }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tokensPerSecond: 1_000,
    workspaces: [{ name: WORKSPACE, keys: ['secret'] }],
  });
  return state;
}

/** Gives the router other endpoints, and its workspace another usage of its share. */
function setUp(state: RouterState, setup: readonly EndpointSetup[], grantedTokens: number): void {
  nowMs += SETUP_GAP_MS;
  state.endpoints.replaceAll([]);
  for (const endpoint of setup) addEndpoint(state, endpoint);
  if (grantedTokens > 0) {
    const demand = { ...PROMPT, inputTokens: grantedTokens };
    state.shares.recordArrival(WORKSPACE, demand);
    state.shares.recordGrant(WORKSPACE, demand, false);
  }
}

function addEndpoint(state: RouterState, setup: EndpointSetup): void {
  nextEndpoint += 1;
  const endpoint: Endpoint = {
    id: `e${nextEndpoint}`,
    startedAt: 1,
    pool: POOL,
    address: '10.0.0.1:80',
    dataCentre: setup.isFar ? 'far' : 'near',
    slots: 8,
    isDraining: setup.isDraining,
  };
  state.endpoints.update(endpoint);
  const record = state.endpoints.find(endpoint.id);
  if (record === undefined) throw new Error('the endpoint was not added');
  if (setup.isCached) state.recordCached(record, sharedSegments(PROMPT));
  if (setup.pendingTokens > 0)
    record.load.recordSent(setup.pendingTokens, setup.pendingTokens, nowMs);
  for (let failure = 0; failure < setup.failures; failure += 1) record.load.recordFailure(nowMs);
  if (setup.pauseMs > 0) state.endpoints.pause(record, { text: '5', durationMs: setup.pauseMs });
}

/** What a real call would do: the endpoint that it is sent to, or undefined if it is refused. */
function placeReally(state: RouterState): string | undefined {
  const placer = new CallPlacer(state);
  const excluded = new Set<string>();
  const request = { route: ROUTE, pool: POOL, prompt: PROMPT, bodyBytes: 0, excluded };
  const best = placer.place(request);
  if (best === undefined) return undefined;
  const shareUsage = state.shares.measureUsage(WORKSPACE);
  const call = { route: ROUTE, remainingMs: 9_000, shareUsage, isCallerRetry: false };
  const first = placer.admit(call, best);
  if (first.isAccepted) return best.record.endpoint.id;
  if (first.isOverShare) return undefined;
  const other = placer.place({ ...request, maxWaitMs: first.waitLimitMs });
  if (other === undefined || !placer.admit(call, other).isAccepted) return undefined;
  return other.record.endpoint.id;
}

describe('the explanation of where a request would go', () => {
  const question = {
    method: 'POST',
    host: 'h',
    target: '/x',
    workspace: WORKSPACE,
    headers: [],
    bodyBytes: 0,
  };

  it('names the endpoint that a call is sent to, in any state of the router', () => {
    const state = createState();
    const explainer = new RouteExplainer({ address: 'r', state, routers: () => [] });
    fc.assert(
      fc.property(setups, fc.nat(20_000), (setup, granted) => {
        setUp(state, setup, granted);
        const explanation = explainer.explain(question);
        expect(explainer.explain(question)).to.deep.equal(explanation);
        expect(explanation.endpoint).to.equal(placeReally(state));
        const listed = explanation.candidates.length + explanation.leftOut.length;
        expect(listed).to.equal(setup.length);
        expect(JSON.stringify(explanation)).not.to.include('secret');
      }),
      { seed: 31, numRuns: NUM_RUNS },
    );
  });

  it('says why an endpoint is left out, and fails for unknown routes and workspaces', () => {
    const paused = { isFar: false, isDraining: false, isCached: false, pendingTokens: 0 };
    const state = createState();
    setUp(state, [{ ...paused, failures: 0, pauseMs: 5_000 }], 0);
    const explainer = new RouteExplainer({ address: 'r', state, routers: () => [] });
    const { leftOut, refusal } = explainer.explain(question);
    expect(leftOut.map(({ reason }) => reason)).to.deep.equal(['paused']);
    expect(refusal?.reason).to.equal('no endpoint takes requests');
    expect(() => explainer.explain({ ...question, workspace: 'other' })).to.throw(
      'no such workspace',
    );
    expect(() => explainer.explain({ ...question, target: 'x' })).to.throw('no route');
  });
});
