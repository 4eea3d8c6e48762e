import { connect } from 'node:net';
import { expect } from 'chai';
import { callChat } from '@poplarpick/load';
import { EndpointKind } from '@poplarpick/decisions';
import { planSite } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import { expectGolden, normalizeText, recordExchange } from './golden-file.ts';
import type { GoldenRequest } from './golden-file.ts';

/** One engine with one slot, so that a second request is queued and a third finds the queue full. */
function planSingleSlotSite(): SitePlan {
  const plan = planSite({ slotsPerEngine: 1, queueLimit: 1, workspaces: 3 });
  const engine = plan.endpoints.find((endpoint) => endpoint.kind === EndpointKind.Model);
  const application = plan.endpoints.find((endpoint) => endpoint.kind === EndpointKind.Application);
  if (engine === undefined || application === undefined)
    throw new Error('the plan lacks an endpoint');
  return { ...plan, endpoints: [engine, application] };
}

describe("golden files of a caller's exchanges", () => {
  let fleet: ProcessFleet;

  before(async () => {
    fleet = await ProcessFleet.start({ plan: planSingleSlotSite(), routers: 1 });
    fleet.site.publish({ revision: 2, preset: 'peak' });
    await fleet.sidecars[0]?.process.waitForEvent(
      (event) => event['revision'] === '2',
      'revision 2',
    );
    await fleet.routers[0]?.process.waitForEvent(
      (event) => event['revision'] === '2',
      'revision 2',
    );
  });

  after(async () => {
    await fleet.stop();
  });

  function buildRequest(path: string, request: Partial<GoldenRequest> = {}): GoldenRequest {
    const key = fleet.site.plan.workspaces[0]?.key ?? '';
    return {
      method: request.body === undefined ? 'GET' : 'POST',
      url: `${fleet.routerUrls[0] ?? ''}${path}`,
      ...request,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        ...request.headers,
      },
    };
  }

  function chatBody(extra: Record<string, unknown> = {}): string {
    const messages = [{ role: 'user', content: 'Which pool is quiet on Saturday?' }];
    return JSON.stringify({ model: fleet.site.plan.model, messages, max_tokens: 4, ...extra });
  }

  async function expectExchange(name: string, request: GoldenRequest): Promise<void> {
    expectGolden(name, await recordExchange(request));
  }

  /** Occupies the only slot with a long request, then runs `action`. */
  async function withBusySlot(action: () => Promise<void>): Promise<void> {
    const { workspaces, model } = fleet.site.plan;
    const url = fleet.routerUrls[0] ?? '';
    const abort = new AbortController();
    let onStart: () => void = () => undefined;
    const started = new Promise<void>((resolve) => (onStart = resolve));
    const call = { url, key: workspaces[1]?.key ?? '', model, prompt: 'long', outputTokens: 5_000 };
    const running = callChat({ ...call, signal: abort.signal, onToken: () => onStart() });
    const earlyResult = await Promise.race([started, running]);
    if (earlyResult !== undefined)
      throw new Error(`the long request ended: ${JSON.stringify(earlyResult)}`);
    await action();
    abort.abort();
    await running;
  }

  it('streams an answer', () =>
    expectExchange(
      'chat-streamed',
      buildRequest('/v1/chat/completions', { body: chatBody({ stream: true }) }),
    ));

  it('streams an answer with its usage', () => {
    const body = chatBody({ stream: true, stream_options: { include_usage: true } });
    return expectExchange('chat-streamed-usage', buildRequest('/v1/chat/completions', { body }));
  });

  it('returns a complete answer', () =>
    expectExchange('chat-whole', buildRequest('/v1/chat/completions', { body: chatBody() })));

  it('lists the models', () => expectExchange('models', buildRequest('/v1/models')));

  it('forwards an application call', () =>
    expectExchange(
      'application-call',
      buildRequest('/apps/bookings/bookings?day=saturday', { body: '{"key":"b-1"}' }),
    ));

  it('refuses an unknown key', () =>
    expectExchange(
      'refused-key',
      buildRequest('/v1/models', { headers: { authorization: 'Bearer wrong' } }),
    ));

  it('refuses a body that is not JSON', () =>
    expectExchange('refused-json', buildRequest('/v1/chat/completions', { body: '{"model":' })));

  it('refuses a request without messages', () => {
    const body = JSON.stringify({ model: fleet.site.plan.model });
    return expectExchange('refused-messages', buildRequest('/v1/chat/completions', { body }));
  });

  it('refuses an unknown model', () =>
    expectExchange(
      'refused-model',
      buildRequest('/v1/chat/completions', { body: chatBody({ model: 'nobody' }) }),
    ));

  it('refuses an unknown service', () =>
    expectExchange('refused-service', buildRequest('/apps/nothing/here')));

  it('refuses an unknown path', () => expectExchange('refused-path', buildRequest('/v2/nothing')));

  it('refuses a body over the limit', () => {
    const body = JSON.stringify({ text: 'x'.repeat(1_100_000) });
    return expectExchange('refused-size', buildRequest('/v1/chat/completions', { body }));
  });

  it('refuses headers over the limit', () => {
    const headers = { 'x-long': 'x'.repeat(20_000) };
    return expectExchange('refused-headers', buildRequest('/v1/models', { headers }));
  });

  it('refuses bytes that are not HTTP, and a body with two framings', async () => {
    const sent = [
      'HELLO\r\n\r\n',
      'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ];
    const answers = await Promise.all(
      sent.map((text) => sendRaw(fleet.routers[0]?.callersAddress ?? '', text)),
    );
    expectGolden('refused-http', answers.join('\n'));
  });

  it('refuses a deadline that is not a number', () => {
    const headers = { 'x-request-timeout-ms': 'soon' };
    return expectExchange(
      'refused-deadline',
      buildRequest('/v1/chat/completions', { body: chatBody(), headers }),
    );
  });

  it('refuses an idempotency key that is not a UUIDv7', () => {
    const headers = { 'idempotency-key': 'again' };
    return expectExchange(
      'refused-idempotency-key',
      buildRequest('/v1/chat/completions', { body: chatBody(), headers }),
    );
  });

  it('fails a request whose deadline passes while it is queued', async () => {
    await withBusySlot(async () => {
      const headers = { 'x-request-timeout-ms': '100' };
      await expectExchange(
        'failed-deadline',
        buildRequest('/v1/chat/completions', { body: chatBody(), headers }),
      );
    });
  });

  it('refuses a request when the queue of its workspace is full', async () => {
    await withBusySlot(async () => {
      const headers = { 'x-request-timeout-ms': '2000' };
      const request = buildRequest('/v1/chat/completions', { body: chatBody(), headers });
      const waiting = recordExchange(request);
      await waitForBacklog(fleet);
      await expectExchange('refused-queue', request);
      expect(await waiting).to.include('deadline_exceeded');
    });
  });

  it('still runs during a drain with a request in flight, and exits with 0 afterwards', async () => {
    await withBusySlot(async () => {
      fleet.routers[0]?.process.signal('SIGTERM');
      await fleet.routers[0]?.process.waitFor('process.draining');
      expect(fleet.routers[0]?.process.hasExited).to.equal(false);
    });
    expect(await fleet.routers[0]?.process.exited).to.deep.equal({ code: 0, signal: null });
  });

  it('exits at once on a second signal', async () => {
    const [router] = fleet.routers;
    if (router === undefined) throw new Error('there is no router');
    await fleet.restartRouter(router);
    await router.process.waitFor('configuration.in_force');
    await router.process.waitForEvent((event) => event['event'] === 'peer.joined', 'the sidecar');
    await router.process.waitFor('configuration.in_force');
    await withBusySlot(async () => {
      router.process.signal('SIGTERM');
      await router.process.waitFor('process.draining');
      router.process.signal('SIGTERM');
      expect(await router.process.exited).to.deep.equal({ code: 1, signal: null });
    });
  });
});

/** Sends bytes on a plain TCP connection and returns everything received until it is closed. */
async function sendRaw(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.write(text);
  let answer = '';
  for await (const bytes of socket as AsyncIterable<Buffer>) answer += bytes.toString();
  return `${normalizeText(answer)}\n`;
}

async function waitForBacklog(fleet: ProcessFleet): Promise<void> {
  for (;;) {
    const status = await fleet.fetchStatus(fleet.routers[0]?.operatorsAddress ?? '');
    const { backlog } = status['requests'] as { backlog: unknown[] };
    if (backlog.length > 0) return;
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
