import { request as httpRequest } from 'node:http';
import { expect } from 'chai';
import { sleep } from '@poplarpick/load';
import { PLATFORM_API_KEYS, PlatformSite } from '../platform-site/platform-site.ts';

/** Time after which a refused caller retries, in ms; routers report to each other in less. */
const RETRY_AFTER_MS = 300;
const LOG_TIMEOUT_MS = 3_000;
const POLL_INTERVAL_MS = 20;
const [API_KEY = ''] = PLATFORM_API_KEYS;

/** A request of a caller. */
interface StreamRequest {
  id: string;
  /** Identifies the last part of the prompt, which is the request's own. */
  prompt: string;
  deadlineMs: number;
  /** The pool of the route `/empty/` has no endpoints, so that its requests are refused. */
  path?: string;
}

describe('callers whose deadlines differ', () => {
  let site: PlatformSite;

  beforeEach(async () => {
    site = await PlatformSite.start({ routers: 2 });
  });

  afterEach(async () => {
    await site.stop();
  });

  async function send(router: number, request: StreamRequest): Promise<number> {
    const [host, port] = (site.callerAddresses[router] ?? '').split(':');
    const headers = {
      host: 'h.example',
      'attempt-id': request.id,
      'api-key': API_KEY,
      'deadline-ms': request.deadlineMs,
      model: 'm',
      'token-usage': '300,50',
      'prompt-prefix': `shared:200,${request.prompt}:100`,
    };
    const path = request.path ?? '/stream/a';
    return new Promise((resolve) => {
      const options = { host, port, method: 'POST', path, headers, agent: false };
      const exchange = httpRequest(options, (response) => {
        response.resume();
        response.once('close', () => resolve(response.statusCode ?? 0));
      });
      exchange.once('error', () => resolve(0));
      exchange.end('x');
    });
  }

  /** Whether a router's log says that a request is a caller's retry. */
  async function readIsRetry(router: number, id: string): Promise<boolean> {
    const endsAt = performance.now() + LOG_TIMEOUT_MS;
    while (performance.now() < endsAt) {
      const line = site.routers[router]?.logLines.find(
        (text) => text.includes('event=call.ended') && text.includes(`request=${id} `),
      );
      if (line !== undefined) return line.includes('returning=true');
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(`no line about request ${id}`);
  }

  it('are not taken for callers that were refused before', async () => {
    const deadlines = [15_000, 13_000, 9_000, 14_000];
    for (const [index, deadlineMs] of deadlines.entries()) {
      const id = `new-${index}`;
      expect(await send(0, { id, prompt: `own-${index}`, deadlineMs })).to.equal(200);
      expect(await readIsRetry(0, id), `request with ${deadlineMs} ms`).to.equal(false);
    }
  });

  it('are recognized at another router when they retry a refused request', async () => {
    const path = '/empty/a';
    const refused = { id: 'first', prompt: 'own-1', deadlineMs: 1_200, path };
    expect(await send(0, refused)).to.equal(503);
    await sleep(RETRY_AFTER_MS);
    const deadlineMs = refused.deadlineMs - RETRY_AFTER_MS;
    const retry = { ...refused, id: 'retry', deadlineMs };
    const other = { ...refused, id: 'other', prompt: 'own-2', deadlineMs };
    expect(await send(1, retry)).to.equal(503);
    expect(await send(1, other)).to.equal(503);
    expect(await readIsRetry(1, 'retry'), 'retry').to.equal(true);
    expect(await readIsRetry(1, 'other'), 'other request').to.equal(false);
  });
});
