import { expect } from 'chai';
import { hashSegment } from '@poplarpick/decisions';
import type { Prompt } from '@poplarpick/decisions';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import type { RequestError } from '@poplarpick/kernel';
import { ENTRY_RETURN_MS } from '../endpoints/list-confirmations.ts';
import type { CallHead } from '../calls/call-protocol.ts';
import type { KeeperAnswer } from './origin-exchange.ts';
import { ResumptionResolver } from './resumption-resolver.ts';
import { StreamOrigins } from './stream-origins.ts';
import { createEndpoint, createRoute, createTable } from './testing/resumable-route.ts';

/** Time for which the router stood still, in ms: less than makes its list too old to tell others by. */
const STANDSTILL_MS = 2_500;

const ENDPOINT = createEndpoint('v1');

const ROUTE = createRoute();

const PROMPT: Prompt = {
  model: 'm',
  inputTokens: 100,
  maxOutputTokens: 10,
  outputTokens: 10,
  segments: [{ id: 'own', tokens: 100 }],
};

const HEAD: CallHead = {
  method: 'GET',
  target: '/',
  host: 'h',
  requestId: 'second',
  deadlineMs: undefined,
  apiKey: undefined,
  prompt: PROMPT,
  lastEventId: '2',
  resumedRequestId: 'first',
  forwardedHeaders: [],
};

const NOBODY_KNOWN: KeeperAnswer = { origin: undefined, hasAnswered: false, wasAsked: false };
const UNANSWERED: KeeperAnswer = { origin: undefined, hasAnswered: false, wasAsked: true };
const NOTHING_KNOWN: KeeperAnswer = { origin: undefined, hasAnswered: true, wasAsked: true };

describe('the origin of a resumed stream', () => {
  const clock = new SystemClock();
  let origins: StreamOrigins;

  beforeEach(() => {
    origins = createOrigins(true);
  });

  function createOrigins(isFirstStart: boolean): StreamOrigins {
    const created = new StreamOrigins({ clock, isFirstStart, endpoints: () => [ENDPOINT] });
    created.recordRoutes(createTable([ROUTE]));
    return created;
  }

  /** The version that is found, or the error of the refusal. */
  async function resolve(answer: KeeperAnswer, head = HEAD): Promise<string | RequestError> {
    const resolver = new ResumptionResolver({
      clock,
      log: createLogger({ level: LogLevel.Silent }),
      origins,
      exchange: { ask: () => Promise.resolve(answer) },
    });
    try {
      const { version } = await resolver.resolve({ head, route: ROUTE, workspace: 'w' });
      return version;
    } catch (error) {
      return error as RequestError;
    }
  }

  /** Confirms the list, which the store has given out for long enough that no entry is missing. */
  function confirmAsWhole(): void {
    origins.confirmEndpoints(clock.monotonic(), false);
    origins.confirmEndpoints(clock.monotonic() + ENTRY_RETURN_MS, true);
  }

  // Guards against a router that stood still or was cut off and goes on with a stream of a version it hasn't seen.
  for (const answer of [UNANSWERED, NOBODY_KNOWN]) {
    it(`is unknown by a list from before a standstill, keepers asked: ${answer.wasAsked}`, async () => {
      origins.confirmEndpoints(clock.monotonic() - STANDSTILL_MS, false);
      expect(await resolve(answer)).to.include({ verdict: 'not-run', retryAfterSeconds: 0.5 });
    });
  }

  it('is that of the only version once the list is confirmed after the caller has come', async () => {
    origins.confirmEndpoints(clock.monotonic() - STANDSTILL_MS, false);
    origins.confirmations.onWanted(() => origins.confirmEndpoints(clock.monotonic(), true));
    expect(await resolve(UNANSWERED)).to.equal('v1');
  });

  it('is that of the only version while the store is silent, if a keeper knows nothing else', async () => {
    origins.confirmEndpoints(clock.monotonic() - STANDSTILL_MS, false);
    expect(await resolve(NOTHING_KNOWN)).to.equal('v1');
  });

  it('is unknown though a keeper knows nothing, if another router tells of a second version', async () => {
    origins.confirmEndpoints(clock.monotonic() - STANDSTILL_MS, false);
    const answered = resolve(NOTHING_KNOWN);
    origins.applyReport({ departedVersions: [['p', 'v2', 0]] });
    expect(await answered).to.have.property('verdict', 'not-run');
  });

  it('is that of the cached prompt after a start, but not while the others are silent', async () => {
    origins = createOrigins(false);
    confirmAsWhole();
    origins.recordListing(ENDPOINT, [{ hash: hashSegment('m', 'own'), tokens: 100 }]);
    expect(await resolve(NOTHING_KNOWN)).to.equal('v1');
    expect(await resolve(UNANSWERED)).to.include({ verdict: 'not-run', retryAfterSeconds: 0.5 });
  });

  // Guards against streams of two versions, where the entry of the engine that began them is back late.
  it('is not that of the cached prompt while entries may be missing from the list', async function () {
    this.timeout(10_000);
    origins = createOrigins(false);
    origins.recordListing(ENDPOINT, [{ hash: hashSegment('m', 'own'), tokens: 100 }]);
    const refusal = resolve(NOBODY_KNOWN);
    origins.confirmEndpoints(clock.monotonic() + 1, false);
    expect(await refusal).to.include({ verdict: 'not-run' });
  });

  // Guards against callers that wait, or come back, before a proof is possible.
  it('is unknown at once if the caller leaves before all entries are back, and says when they are', async () => {
    origins = createOrigins(false);
    origins.confirmEndpoints(clock.monotonic(), false);
    origins.recordListing(ENDPOINT, [{ hash: hashSegment('m', 'own'), tokens: 100 }]);
    const arrivedAt = clock.monotonic();
    const refusal = await resolve(NOBODY_KNOWN, { ...HEAD, deadlineMs: 1_000 });
    expect(clock.monotonic() - arrivedAt).to.be.below(100);
    expect(refusal).to.have.property('retryAfterSeconds').that.is.within(2.3, 2.5);
  });

  // Guards against the same where the router was cut off from the store when its caller came.
  it('is not that of the cached prompt by a list from before the caller came', async function () {
    this.timeout(10_000);
    origins = createOrigins(false);
    origins.confirmEndpoints(clock.monotonic() - STANDSTILL_MS - ENTRY_RETURN_MS, false);
    origins.recordListing(ENDPOINT, [{ hash: hashSegment('m', 'own'), tokens: 100 }]);
    expect(await resolve(NOTHING_KNOWN)).to.include({ verdict: 'not-run', retryAfterSeconds: 0.5 });
  });
});
