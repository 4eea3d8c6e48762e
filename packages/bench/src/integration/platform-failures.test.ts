import { request as httpRequest } from 'node:http';
import { expect } from 'chai';
import { parseLogLine } from '@poplarpick/cli/explain/log-record';
import type { LogRecord } from '@poplarpick/cli/explain/log-record';
import { buildLogTimeline } from '@poplarpick/cli/explain/log-timeline';
import type { LogTimeline } from '@poplarpick/cli/explain/log-timeline';
import { sleep } from '@poplarpick/load';
import { EngineBehaviour, Fault, StoreCondition } from '@poplarpick/stand-ins';
import { PLATFORM_API_KEYS, PlatformSite } from '../platform-site/platform-site.ts';
import { expectGolden, recordExchange } from './golden-file.ts';

const WAIT_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 10;
const BODY_LIMIT = 100_000;
const HEADERS = { host: 'h.example', 'deadline-ms': '3000', 'api-key': PLATFORM_API_KEYS[0] ?? '' };
const PROMPT = { model: 'm', 'token-usage': '900,10', 'prompt-prefix': 'aa:800,bb:100' };

/** A failing request, and what the caller and the log must show of it. */
interface FailureCase {
  name: string;
  path: string;
  body?: string;
  headers?: Record<string, string>;
  /** Makes the endpoints or the connections to them fail. */
  injectFault?: (site: PlatformSite) => Promise<void> | void;
  /** Status that the caller gets; 0 if the connection ends without a complete answer. */
  status: number;
  /** Matches the conclusion of the timeline. */
  conclusion: RegExp;
  /** Matches the text of the timeline's lines. */
  timelineText: RegExp;
}

function setBehaviour(behaviour: EngineBehaviour): (site: PlatformSite) => void {
  return (site) => {
    for (const { engine } of site.engines) engine.chooseBehaviour = () => behaviour;
  };
}

function parseLines(lines: readonly string[]): LogRecord[] {
  return lines
    .map((line) => parseLogLine(line))
    .filter((record): record is LogRecord => record !== undefined);
}

const FAILURE_CASES: FailureCase[] = [
  {
    name: 'route-unknown',
    path: '/nowhere/a',
    status: 404,
    conclusion: /has not run: no route/,
    timelineText: /refused before it was placed: no route/,
  },
  {
    name: 'key-unknown',
    path: '/once/a',
    headers: { 'api-key': 'wrong' },
    status: 401,
    conclusion: /has not run: unknown key/,
    timelineText: /refused before it was placed: unknown key; key age \d+ ms, routes 1/,
  },
  {
    name: 'body-too-large',
    path: '/once/a',
    body: 'x'.repeat(BODY_LIMIT + 1),
    status: 413,
    conclusion: /has not run: the body is too large/,
    timelineText: /refused before it was placed/,
  },
  {
    name: 'no-endpoint',
    path: '/empty/a',
    status: 503,
    conclusion: /has not run: no endpoint takes requests/,
    timelineText: /ended after \d+ ms as refused/,
  },
  {
    name: 'refused-by-endpoint',
    path: '/once/a',
    body: 'x',
    injectFault: setBehaviour(EngineBehaviour.Refuse),
    status: 503,
    conclusion: /has not run: the endpoint refused with 503/,
    timelineText:
      /the attempt at endpoint engine-\d failed: the endpoint refused with 503 \(not-run\)/,
  },
  {
    name: 'endpoint-unreachable',
    path: '/once/a',
    body: 'x',
    injectFault: (site) => {
      for (const { proxy } of site.engines) proxy.stop();
    },
    status: 503,
    conclusion: /has not run: .*ECONNREFUSED/,
    timelineText: /the attempt at endpoint engine-\d failed: .*ECONNREFUSED.* \(not-run\)/,
  },
  {
    name: 'reset-before-answer',
    path: '/once/a',
    body: 'x',
    injectFault: setBehaviour(EngineBehaviour.ResetBeforeAnswer),
    status: 502,
    conclusion: /may have run/,
    timelineText: /sent to endpoint engine-\d as attempt 1/,
  },
  {
    name: 'reset-within-answer',
    path: '/once/a',
    body: 'x',
    injectFault: setBehaviour(EngineBehaviour.ResetWithinAnswer),
    status: 502,
    conclusion: /may have run/,
    timelineText: /the attempt at endpoint engine-\d failed: .* \(may-have-run\)/,
  },
  {
    name: 'answer-of-another',
    path: '/once/a',
    body: 'x',
    injectFault: setBehaviour(EngineBehaviour.WrongAttemptId),
    status: 502,
    conclusion: /may have run: the endpoint answered another request/,
    timelineText: /answered another request \(may-have-run\)/,
  },
  {
    name: 'no-answer-at-all',
    path: '/once/a',
    body: 'x',
    injectFault: setBehaviour(EngineBehaviour.Garbage),
    status: 502,
    conclusion: /may have run/,
    timelineText: /the attempt at endpoint engine-\d failed: .* \(may-have-run\)/,
  },
  {
    name: 'failed-by-endpoint',
    path: '/once/a',
    body: 'x',
    injectFault: setBehaviour(EngineBehaviour.Error),
    status: 500,
    conclusion: /The endpoint's own answer was passed on: status 500/,
    timelineText: /as status_500/,
  },
  {
    name: 'silent-path',
    path: '/once/a',
    body: 'x',
    injectFault: (site) => {
      for (const { proxy } of site.engines) proxy.fault = Fault.SilenceBackward;
    },
    status: 504,
    conclusion: /may have run: the time for the request is over/,
    timelineText: /sent to endpoint engine-\d as attempt 1/,
  },
  {
    name: 'broken-off-in-a-stream',
    path: '/stream/a',
    body: 'x',
    headers: PROMPT,
    injectFault: (site) => {
      void (async () => {
        while (site.engines.every(({ engine }) => engine.runs.length === 0))
          await sleep(POLL_INTERVAL_MS);
        await sleep(50);
        for (const { proxy } of site.engines) proxy.fault = Fault.Reset;
      })();
    },
    status: 0,
    conclusion: /The answer was broken off: /,
    timelineText: /the attempt at endpoint engine-\d failed: .*; the caller had events up to \d/,
  },
];

describe('timelines of failed requests on the platform, built from the log alone', () => {
  let site: PlatformSite;
  let nextId = 0;

  afterEach(async () => {
    await site.stop();
  });

  /** Sends a request and resolves with its status, or 0 without a complete answer. */
  function sendRequest(
    failure: Pick<FailureCase, 'path' | 'headers' | 'body'>,
    id: string,
  ): Promise<number> {
    const [host, port] = (site.callerAddresses[0] ?? '').split(':');
    const { path, body } = failure;
    const headers = { ...HEADERS, 'attempt-id': id, ...failure.headers };
    return new Promise((resolve) => {
      const method = body === undefined ? 'GET' : 'POST';
      const exchange = httpRequest({ host, port, path, method, headers, agent: false });
      exchange.once('error', () => resolve(0));
      exchange.once('response', (response) => {
        response.resume();
        response.once('close', () => resolve(response.complete ? (response.statusCode ?? 0) : 0));
      });
      exchange.end(body);
    });
  }

  /** Builds the timeline of a request from the logs of all routers, once they contain its end and `event`. */
  async function waitForTimeline(id: string, event?: string): Promise<LogTimeline> {
    const endsAt = performance.now() + WAIT_TIMEOUT_MS;
    for (;;) {
      const timeline = buildLogTimeline(
        id,
        parseLines(site.routers.flatMap(({ logLines }) => logLines)),
      );
      const hasEvent = event === undefined || timeline?.lines.some((line) => line.event === event);
      if (timeline?.conclusion !== undefined && hasEvent === true) return timeline;
      if (performance.now() > endsAt) throw new Error(`the logs do not contain the end of ${id}`);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  for (const failure of FAILURE_CASES) {
    it(`explains ${failure.name}`, async () => {
      site = await PlatformSite.start({ engines: 2, events: 20 });
      await failure.injectFault?.(site);
      nextId += 1;
      const id = `failure-${nextId}`;
      expect(await sendRequest(failure, id)).to.equal(failure.status);
      const timeline = await waitForTimeline(id);
      expect(timeline.conclusion).to.match(failure.conclusion);
      expect(timeline.lines.map(({ text }) => text).join('\n')).to.match(failure.timelineText);
    });
  }

  it('explains a refusal for a used-up share or for too long a wait', async () => {
    site = await PlatformSite.start({ engines: 1, events: 2, tokensPerSecond: 100 });
    const { engine } = site.engines[0] ?? {};
    if (engine !== undefined) engine.chooseBehaviour = () => EngineBehaviour.NoAnswer;
    const headers = { ...PROMPT, 'token-usage': '40000,10', 'prompt-prefix': 'aa:100,bb:39900' };
    const ids = Array.from({ length: 12 }, (_, index) => `crowd-${index}`);
    const sent = ids.map((id) => sendRequest({ path: '/stream/a', body: 'x', headers }, id));
    const statuses = await Promise.all(sent);
    const refused = ids.filter((_, index) => statuses[index] === 429);
    expect(refused.length).to.be.greaterThan(0);
    const timeline = await waitForTimeline(refused.at(-1) ?? '');
    expect(timeline.conclusion).to.match(
      /has not run: (the wait is too long|the workspace has had)/,
    );
    expect(timeline.lines.at(-1)?.text).to.match(/ms to wait behind \d+ tokens and \d+ requests/);
  });

  it('explains that the keys may be out of date', async () => {
    site = await PlatformSite.start({ bounds: { revokeMs: 1_500 } });
    site.store.condition = StoreCondition.Busy;
    const endsAt = performance.now() + WAIT_TIMEOUT_MS;
    let id = '';
    let status = 0;
    while (status !== 503 && performance.now() < endsAt) {
      nextId += 1;
      id = `stale-${nextId}`;
      status = await sendRequest({ path: '/once/a', body: 'x' }, id);
    }
    const timeline = await waitForTimeline(id, 'store.lost');
    expect(timeline.conclusion).to.match(/has not run: the keys may be out of date/);
  });

  it('shows that a caller disconnected, and where a request was when its router was killed', async () => {
    site = await PlatformSite.start({ engines: 1 });
    const { engine } = site.engines[0] ?? {};
    if (engine === undefined) throw new Error('no engine');
    engine.chooseBehaviour = () => EngineBehaviour.NoAnswer;
    const [host, port] = (site.callerAddresses[0] ?? '').split(':');
    const headers = { ...HEADERS, 'attempt-id': 'leaver' };
    const abandonedRequest = httpRequest({ host, port, path: '/once/a', method: 'POST', headers });
    abandonedRequest.once('error', () => undefined);
    abandonedRequest.end('x');
    while (engine.runs.length === 0) await sleep(POLL_INTERVAL_MS);
    abandonedRequest.destroy();
    expect((await waitForTimeline('leaver')).conclusion).to.match(/caller closed its connection/);
    const killedStatus = sendRequest({ path: '/once/a', body: 'x' }, 'killed');
    while (engine.runs.length === 1) await sleep(POLL_INTERVAL_MS);
    const [router] = site.routers;
    router?.process.kill('SIGKILL');
    expect(await killedStatus).to.equal(0);
    const timeline = buildLogTimeline('killed', parseLines(router?.logLines ?? []));
    expect(timeline?.conclusion).to.equal(undefined);
    expect(timeline?.lines.map(({ text }) => text).join('\n')).to.match(
      /sent to endpoint engine-0/,
    );
  });
});

describe('golden files of exchanges on the platform', () => {
  let site: PlatformSite;

  before(async () => {
    site = await PlatformSite.start({ engines: 1, events: 3 });
  });

  after(async () => {
    await site.stop();
  });

  /** Compares the exchange as the caller sees it, and the request at the engine, with a golden file. */
  async function expectExchange(name: string, path: string, body?: string): Promise<void> {
    const { engine } = site.engines[0] ?? {};
    const before = engine?.runs.length ?? 0;
    const exchange = await recordExchange({
      method: body === undefined ? 'GET' : 'POST',
      url: `http://${site.callerAddresses[0] ?? ''}${path}`,
      headers: { ...HEADERS, ...PROMPT, 'attempt-id': name, 'x-own': 'kept', tenant: 'forged' },
      ...(body === undefined ? {} : { body }),
    });
    const runs = engine?.runs.slice(before) ?? [];
    const engineRequests = runs.flatMap(({ method, target, headers, body: bytes }) => [
      `engine < ${method} ${target}`,
      ...Object.entries(headers)
        .map(([header, value]) => `engine < ${header}: ${String(value)}`)
        .sort(),
      `engine < ${bytes}`,
    ]);
    const text = [exchange.trimEnd(), ...engineRequests].join('\n');
    expectGolden(name, `${text.replace(/deadline-ms: \d+$/gm, 'deadline-ms: <left>')}\n`);
  }

  it('forwards a stream', async () => {
    await expectExchange('platform-stream', '/stream/a?b=c', 'prompt');
  });

  it('forwards a complete answer', async () => {
    await expectExchange('platform-once', '/once/pay/1', 'pay');
  });

  it('refuses an unknown route', async () => {
    await expectExchange('platform-no-route', '/nowhere/');
  });

  it('refuses a service without endpoints', async () => {
    await expectExchange('platform-no-endpoint', '/empty/a');
  });
});
