import { expect } from 'chai';
import { request } from 'undici';
import { callApplication, callChat, CallOutcome, buildChatBody } from '@poplarpick/load';
import { expectedAnswer, Fault } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

describe('the whole path with real processes', () => {
  let fleet: ProcessFleet;

  before(async () => {
    fleet = await ProcessFleet.start({ site: { applicationWorkMs: 400 } });
  });

  after(async () => {
    await fleet.stop();
  });

  function chatCall(prompt: string, outputTokens = 24) {
    const { workspaces, model } = fleet.site.plan;
    const url = fleet.routerUrls[0] ?? '';
    return { url, key: workspaces[3]?.key ?? '', model, prompt, outputTokens };
  }

  function bookingCall(key: string, headers: Record<string, string> = {}) {
    const { workspaces, service, nonIdempotentPath } = fleet.site.plan;
    const url = fleet.routerUrls[0] ?? '';
    return {
      url,
      key: workspaces[4]?.key ?? '',
      service,
      path: nonIdempotentPath,
      body: { key },
      headers,
    };
  }

  it('gives each of many callers the complete answer to its own request', async () => {
    const calls = Array.from({ length: 40 }, (_, index) => chatCall(`question ${index}`));
    const results = await Promise.all(calls.map((call) => callChat(call)));
    results.forEach((result, index) => {
      const call = calls[index];
      expect(result.outcome).to.equal(CallOutcome.Complete);
      expect(result.text).to.equal(call === undefined ? '' : expectedAnswer(buildChatBody(call)));
    });
  });

  it('answers a call of an application service', async () => {
    const result = await callApplication(bookingCall('saturday'));
    expect(result.status).to.equal(200);
    expect(result.body).to.include({ key: 'saturday', run: 1, method: 'POST', path: '/bookings' });
  });

  it('resumes a stream whose links are reset, without a lost or repeated token', async () => {
    const call = chatCall('cut in the middle', 60);
    let tokens = 0;
    const onToken = (): void => {
      tokens += 1;
      if (tokens === 10) fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.Reset));
    };
    const result = await callChat({ ...call, onToken });
    expect(result.outcome).to.equal(CallOutcome.Complete);
    expect(result.text).to.equal(expectedAnswer(buildChatBody(call)));
  });

  it('detects silent links, and resumes on new ones', async () => {
    const call = chatCall('silent in the middle', 60);
    let tokens = 0;
    const onToken = (): void => {
      tokens += 1;
      if (tokens === 10)
        fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.HalfOpen));
    };
    const result = await callChat({ ...call, onToken });
    expect(result.outcome).to.equal(CallOutcome.Complete);
    expect(result.text).to.equal(expectedAnswer(buildChatBody(call)));
  });

  it('answers may-have-run, and does not run again, when the sidecar of a non-idempotent call is killed', async () => {
    const result = callApplication(bookingCall('killed'));
    const victim = await waitForRunningEndpoint(fleet, 'killed');
    await fleet.restartSidecar(fleet.findSidecar(victim));
    const { outcome, verdict } = await result;
    expect(outcome).to.equal(CallOutcome.Refused);
    expect(verdict).to.equal('may-have-run');
    expect(fleet.site.countRuns().get('killed')).to.equal(1);
  });

  it('shows its status only with an operator key', async () => {
    const [router] = fleet.routers;
    const url = `http://${router?.operatorsAddress ?? ''}/v1/status`;
    const { statusCode } = await request(url, { headers: { authorization: 'Bearer wrong' } });
    expect(statusCode).to.equal(401);
    const status = await fleet.fetchStatus(router?.operatorsAddress ?? '');
    expect(status.configuration.revision).to.equal(1);
  });
});

/** Waits until an endpoint runs the booking with that key, and returns the endpoint's name. */
async function waitForRunningEndpoint(fleet: ProcessFleet, key: string): Promise<string> {
  for (;;) {
    for (const [name, engine] of fleet.site.applicationEngines) {
      if ((engine.runCounts[key] ?? 0) > 0) return name;
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
