import { EndpointAvailability, EndpointLoad, StreamPace } from '@poplarpick/decisions';
import type { Prompt, RouteIndex } from '@poplarpick/decisions';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { expect } from 'chai';
import fc from 'fast-check';
import type { EndpointRecord } from './endpoints/endpoint-directory.ts';
import { isIdle } from './endpoints/endpoint-idleness.ts';
import { WorkspaceShares } from './workspace-shares.ts';

const WINDOW_MS = 4_000;
const TOKENS_PER_SECOND = 1_600_000;
const SLOTS = 32;
const ENDPOINT_COUNT = 6;

/** Time between two calls, in ms. */
const CALL_INTERVAL_MS = 40;

const PROMPT_TOKENS = 8_000;

interface TestCall {
  workspace: string;
  tokens: number;
}

class TestClock extends SystemClock {
  nowMs = 0;

  override monotonic(): number {
    return this.nowMs;
  }
}

/** A router's shares at endpoints whose load the test sets, while requests within their share were late before. */
class ShareFixture {
  readonly clock = new TestClock();
  readonly loads = Array.from({ length: ENDPOINT_COUNT }, () => new EndpointLoad());
  readonly shares: WorkspaceShares;

  constructor() {
    const table = { tokensPerSecond: TOKENS_PER_SECOND };
    const routes = { table, findPool: () => ({ batch: { cacheTokens: 800_000 } }) };
    const streamPace = new StreamPace();
    const records = this.loads.map((load) => ({
      endpoint: { pool: 'pool', slots: SLOTS },
      incarnation: 'endpoint@1',
      availability: new EndpointAvailability(),
      load,
    }));
    this.shares = new WorkspaceShares({
      clock: this.clock,
      windowMs: WINDOW_MS,
      endpoints: { all: () => records.values() as unknown as IterableIterator<EndpointRecord> },
      routes: () => routes as unknown as RouteIndex,
      readPeerUsage: () => [],
      readContention: () => 1,
      isHeldBack: () => false,
      isIdle: (record) => isIdle(record, { streamPace, isExhausted: false, now: this.clock.nowMs }),
      log: createLogger({ level: LogLevel.Silent }),
      readUsageAgeMs: () => 0,
      readLoopUtilization: () => 0,
      onRefused: () => undefined,
    });
  }

  /** Queues a prompt at each endpoint, and returns what ends its wait. */
  fillEndpoints(): () => void {
    const requests = this.loads.map((load) => load.recordSent(PROMPT_TOKENS, PROMPT_TOKENS, 0));
    return () => {
      for (const [index, load] of this.loads.entries()) {
        const request = requests[index];
        if (request !== undefined) load.recordEnded(request);
      }
    };
  }

  /**
   * Sends calls, and grants those that are within the share of their workspace and find a place. Returns the part of
   * them that was refused for the share.
   */
  sendCalls(calls: readonly TestCall[], hasPlace: (index: number) => boolean): number {
    let refused = 0;
    for (const [index, { workspace, tokens }] of calls.entries()) {
      this.clock.nowMs += CALL_INTERVAL_MS;
      const prompt = createPrompt(tokens);
      this.shares.recordArrival(workspace, prompt);
      const { shareUsed, surplusUsed } = this.shares.measureUsage(workspace);
      if (shareUsed >= 1 || surplusUsed > 1) refused += 1;
      else if (hasPlace(index)) this.shares.recordGrant(workspace, prompt, false);
    }
    return refused / calls.length;
  }
}

function createPrompt(inputTokens: number): Prompt {
  return { model: 'm', segments: [], inputTokens, maxOutputTokens: 0, outputTokens: 0 };
}

function isThird(index: number): boolean {
  return index % 3 === 0;
}

const CALLS = fc.array(
  fc.record<TestCall>({
    workspace: fc.constantFrom('flood', 'flood', 'flood', 'large', 'small'),
    tokens: fc.integer({ min: 100, max: 12_000 }),
  }),
  { minLength: 50, maxLength: 50 },
);

describe('shares of workspaces under contention', () => {
  it('refuse no call that the configured rate covers once the endpoints are empty', () => {
    fc.assert(
      fc.property(CALLS, CALLS, CALLS, (crowded, settling, calm) => {
        const fixture = new ShareFixture();
        const empty = fixture.fillEndpoints();
        fixture.sendCalls(crowded, isThird);
        empty();
        fixture.sendCalls(settling, () => true);
        expect(fixture.sendCalls(calm, () => true)).to.equal(0);
      }),
      { seed: 35, numRuns: 100 },
    );
  });

  it('hold back the workspace that asks most while prompts wait at all endpoints', () => {
    const fixture = new ShareFixture();
    fixture.fillEndpoints();
    const calls = Array.from({ length: 200 }, (_, index) => ({
      workspace: index % 5 === 0 ? 'small' : 'flood',
      tokens: 4_000,
    }));
    expect(fixture.sendCalls(calls, isThird)).to.be.greaterThan(0.3);
  });
});
