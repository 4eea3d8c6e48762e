import { setTimeout as waitMs } from 'node:timers/promises';
import { expect } from 'chai';
import { v7 as makeUuid } from 'uuid';
import { callApplication, callChat, CallOutcome, buildChatBody } from '@poplarpick/load';
import { KEY_GUARD_INTERVAL_MS } from '@poplarpick/decisions';
import { expectedAnswer, Fault } from '@poplarpick/stand-ins';
import { planSmallSite } from '../faults/schedule-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

describe('requests that must run once, with real processes', () => {
  let fleet: ProcessFleet;

  before(async () => {
    fleet = await ProcessFleet.start({ plan: planSmallSite(), site: { applicationWorkMs: 300 } });
    await waitMs(KEY_GUARD_INTERVAL_MS);
  });

  after(async () => {
    await fleet.stop();
  });

  function sendBooking(name: string, key: string, router = 0, workspace = 0) {
    const { workspaces, service, nonIdempotentPath } = fleet.site.plan;
    const headers = { 'idempotency-key': key };
    const url = fleet.routerUrls[router] ?? '';
    const apiKey = workspaces[workspace]?.key ?? '';
    return callApplication({
      url,
      key: apiKey,
      service,
      path: nonIdempotentPath,
      body: { key: name },
      headers,
    });
  }

  it('runs a request once when its key is sent to two routers at the same time', async () => {
    const key = makeUuid();
    const answers = await Promise.all([sendBooking('twice', key, 0), sendBooking('twice', key, 1)]);
    const later = await sendBooking('twice', key, 1);
    for (const { outcome, body } of [...answers, later]) {
      expect(outcome).to.equal(CallOutcome.Complete);
      expect(body).to.include({ key: 'twice', run: 1 });
    }
    expect(fleet.site.countRuns().get('twice')).to.equal(1);
  });

  it('refuses another body under the same key, but not that of another workspace', async () => {
    const key = makeUuid();
    await sendBooking('first', key);
    const other = await sendBooking('second', key, 1);
    expect(other).to.include({ status: 409, code: 'idempotency_key_conflict', verdict: 'not-run' });
    expect(fleet.site.countRuns().get('second')).to.equal(undefined);
    expect((await sendBooking('second', key, 1, 1)).outcome).to.equal(CallOutcome.Complete);
  });

  it('answers may-have-run for a key older than the retention of keys', async () => {
    const old = await sendBooking('old', makeUuid({ msecs: Date.now() - 600_000 }));
    expect(old).to.include({
      status: 409,
      code: 'idempotency_key_expired',
      verdict: 'may-have-run',
    });
    expect(fleet.site.countRuns().get('old')).to.equal(undefined);
  });

  it('refuses a key from the future', async () => {
    const ahead = await sendBooking('ahead', makeUuid({ msecs: Date.now() + 600_000 }));
    expect(ahead).to.include({ status: 400, code: 'invalid_request', verdict: 'not-run' });
  });

  it('does not run a key again after the sidecar that ran it has restarted', async () => {
    const key = makeUuid();
    await sendBooking('restarted', key);
    for (const sidecar of fleet.sidecars) {
      if (sidecar.endpoint.startsWith('application')) await fleet.restartSidecar(sidecar);
    }
    const again = await sendBooking('restarted', key, 1);
    expect(again).to.include({ code: 'idempotency_key_expired', verdict: 'may-have-run' });
    expect(fleet.site.countRuns().get('restarted')).to.equal(1);
  });

  it('cancels the stream at the engine when the caller disconnects', async () => {
    const { workspaces, model } = fleet.site.plan;
    const abort = new AbortController();
    const url = fleet.routerUrls[0] ?? '';
    const call = { url, key: workspaces[0]?.key ?? '', model, prompt: 'gone', outputTokens: 5_000 };
    await callChat({ ...call, signal: abort.signal, onToken: () => abort.abort() });
    await waitUntil(() => countRunningStreams(fleet) === 0);
  });

  for (const fault of [Fault.Reset, Fault.HalfOpen]) {
    it(`resumes a stream when the connection to the engine fails by ${fault}`, async () => {
      const { workspaces, model } = fleet.site.plan;
      const engines = fleet.sidecars.filter(({ endpoint }) => endpoint.startsWith('model'));
      const prompt = `path breaks by ${fault}`;
      const url = fleet.routerUrls[0] ?? '';
      const call = { url, key: workspaces[0]?.key ?? '', model, prompt, outputTokens: 60 };
      let tokens = 0;
      const onToken = (): void => {
        tokens += 1;
        if (tokens === 10) engines.forEach(({ endpointProxy }) => (endpointProxy.fault = fault));
      };
      const { outcome, text } = await callChat({ ...call, onToken });
      expect(outcome).to.equal(CallOutcome.Complete);
      expect(text).to.equal(expectedAnswer(buildChatBody(call)));
    });
  }

  it('keeps retries within a tenth of the requests when every endpoint fails', async () => {
    const { workspaces, service } = fleet.site.plan;
    const key = workspaces[2]?.key ?? '';
    const applications = fleet.sidecars.filter(({ endpoint }) =>
      endpoint.startsWith('application'),
    );
    applications.forEach(({ endpointProxy }) => (endpointProxy.fault = Fault.Cut));
    const url = fleet.routerUrls[1] ?? '';
    const events = fleet.routers[1]?.process.events ?? [];
    const count = (name: string) => events.filter(({ event }) => event === name).length;
    const before = count('request.finished') + count('request.failed');
    // A failed endpoint may still be executing the call, so its slot stays occupied for a while and calls
    // are queued.
    const headers = { 'x-request-timeout-ms': '2000' };
    const calls = Array.from({ length: 60 }, (_, index) => {
      const body = { key: `failing-${index}` };
      return callApplication({ url, key, service, path: '/lookups', body, headers });
    });
    const results = await Promise.all(calls);
    applications.forEach(({ endpointProxy }) => (endpointProxy.fault = Fault.None));
    for (const { code } of results) {
      expect(code).to.be.oneOf(['deadline_exceeded', 'endpoint_failed']);
    }
    expect(count('request.retried')).to.be.within(1, 0.1 * (before + calls.length));
  });

  it('refuses a key whose endpoint is unavailable, and runs it nowhere else', async () => {
    const applications = fleet.sidecars.filter(({ endpoint }) =>
      endpoint.startsWith('application'),
    );
    await Promise.all(applications.map(({ process }) => process.kill()));
    const away = await sendBooking('away', makeUuid());
    expect(away).to.include({ status: 503, code: 'no_endpoint', verdict: 'not-run' });
    expect(fleet.site.countRuns().get('away')).to.equal(undefined);
  });
});

function countRunningStreams(fleet: ProcessFleet): number {
  return [...fleet.site.modelEngines.values()].reduce((sum, engine) => sum + engine.running, 0);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await waitMs(5);
}
