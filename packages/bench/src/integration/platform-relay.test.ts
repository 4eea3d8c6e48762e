import { request as httpRequest } from 'node:http';
import { expect } from 'chai';
import { sleep } from '@poplarpick/load';
import { Fault } from '@poplarpick/stand-ins';
import { PLATFORM_API_KEYS, PlatformSite } from '../platform-site/platform-site.ts';

const POLL_INTERVAL_MS = 30;
const REVOKE_MS = 3_000;
/** Tolerance for the timing of the test itself, in ms. */
const TIMING_TOLERANCE_MS = 400;
const [FIRST_KEY = '', SECOND_KEY = ''] = PLATFORM_API_KEYS;

describe('routers cut off from the store, with a peer that reaches it', () => {
  let site: PlatformSite;
  let nextId = 0;

  beforeEach(async () => {
    site = await PlatformSite.start({ routers: 2, bounds: { revokeMs: REVOKE_MS } });
  });

  afterEach(async () => {
    await site.stop();
  });

  /** Sends a request with an API key to a router and resolves with its status, or 0 without an answer. */
  async function sendRequest(router: number, key = FIRST_KEY): Promise<number> {
    const [host, port] = (site.callerAddresses[router] ?? '').split(':');
    nextId += 1;
    const headers = { host: 'h.example', 'attempt-id': `relay-${nextId}`, 'api-key': key };
    return new Promise((resolve) => {
      const options = { host, port, method: 'POST', path: '/once/a', headers, agent: false };
      const exchange = httpRequest(options, (response) => {
        response.resume();
        response.once('close', () => resolve(response.statusCode ?? 0));
      });
      exchange.once('error', () => resolve(0));
      exchange.end('x');
    });
  }

  async function waitForStatus(router: number, status: number, timeoutMs: number): Promise<void> {
    const endsAt = performance.now() + timeoutMs;
    let last = 0;
    while (performance.now() < endsAt) {
      last = await sendRequest(router);
      if (last === status) return;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(`status ${last}, not ${status}, after ${timeoutMs} ms`);
  }

  function storeProxyOf(router: number): { fault: Fault } {
    const proxy = site.storeProxies.get(site.routers[router]?.ip ?? '');
    if (proxy === undefined) throw new Error('no such router');
    return proxy;
  }

  it('accept keys beyond the revocation bound, and apply new versions', async () => {
    storeProxyOf(1).fault = Fault.Cut;
    const until = performance.now() + REVOKE_MS * 1.5;
    while (performance.now() < until) {
      expect(await sendRequest(1)).to.equal(200);
      await sleep(POLL_INTERVAL_MS);
    }
    site.publishConfiguration(
      2,
      PLATFORM_API_KEYS.filter((key) => key !== FIRST_KEY),
    );
    const changedAt = performance.now();
    await waitForStatus(1, 401, REVOKE_MS);
    expect(performance.now() - changedAt).to.be.lessThan(REVOKE_MS);
    expect(await sendRequest(1, SECOND_KEY)).to.equal(200);
  });

  it('learn from the peer that an engine drains', async () => {
    storeProxyOf(1).fault = Fault.Cut;
    await sleep(REVOKE_MS / 2);
    const [drainingEngine] = site.engines;
    if (drainingEngine === undefined) throw new Error('no engine');
    site.store.put('servers/engine-0', site.buildStoreEntry(drainingEngine, { state: 'draining' }));
    await sleep(2_000);
    const before = drainingEngine.engine.arrivals;
    for (let attempt = 0; attempt < 10; attempt += 1) expect(await sendRequest(1)).to.equal(200);
    expect(drainingEngine.engine.arrivals).to.equal(before);
  });

  it('accept no key once no router can confirm its keys with the store', async () => {
    storeProxyOf(0).fault = Fault.Silence;
    storeProxyOf(1).fault = Fault.Silence;
    const lostAt = performance.now();
    await waitForStatus(1, 503, REVOKE_MS + TIMING_TOLERANCE_MS);
    await waitForStatus(0, 503, REVOKE_MS + TIMING_TOLERANCE_MS - (performance.now() - lostAt));
    const until = performance.now() + REVOKE_MS;
    while (performance.now() < until) {
      expect(await sendRequest(1)).to.equal(503);
      await sleep(POLL_INTERVAL_MS);
    }
  });

  it('serve soon after a restart', async () => {
    const [, router] = site.routers;
    storeProxyOf(1).fault = Fault.Silence;
    router?.process.kill('SIGKILL');
    await sleep(POLL_INTERVAL_MS);
    site.startRouter(router?.ip ?? '');
    await waitForStatus(1, 200, REVOKE_MS);
  });
});
