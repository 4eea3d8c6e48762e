import { once } from 'node:events';
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { Readable } from 'node:stream';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { RouterNode } from '../process-fleet/process-fleet.ts';

/** Time in which a router that waits for nothing would have stopped. */
const STOP_MS = 600;
/** Less than a router keeps for a caller that doesn't read; all of them are more than the buffers of the system. */
const LARGE_ANSWER_BYTES = 3_000_000;
const LARGE_ANSWERS = 2;
/** As large as a body may be. */
const LARGE_BODY = 'a'.repeat(1_000_000);
const LAST_CHUNK = '\r\n0\r\n\r\n';
const TEXT = JSON.stringify({ key: 'late' });

describe('requests that are open when a router of the fleet stops', () => {
  let fleet: ProcessFleet;

  before(async () => {
    fleet = await ProcessFleet.start({ routers: 4 });
  });

  after(async () => {
    await fleet.stop();
  });

  function routerAt(index: number): RouterNode {
    const router = fleet.routers[index];
    if (router === undefined) throw new Error('there is no such router');
    return router;
  }

  function addressOf({ callersAddress }: RouterNode): { host: string; port: number } {
    const [host = '', port] = callersAddress.split(':');
    return { host, port: Number(port) };
  }

  function callPath(): string {
    const { service, nonIdempotentPath } = fleet.site.plan;
    return `/apps/${service}${nonIdempotentPath}`;
  }

  function headersOf(body: string): Record<string, string> {
    return {
      authorization: `Bearer ${fleet.site.plan.workspaces[0]?.key ?? ''}`,
      'content-type': 'application/json',
      'content-length': String(body.length),
    };
  }

  function buildCall(body: string): string {
    const headers = Object.entries({ host: 'h', ...headersOf(body) });
    const lines = headers.map(([name, value]) => `${name}: ${value}`);
    return [`POST ${callPath()} HTTP/1.1`, ...lines, '', body].join('\r\n');
  }

  /** Begins a call to an application; resolves once the router has its head. */
  async function begin(router: RouterNode): Promise<ClientRequest> {
    const request = httpRequest({
      ...addressOf(router),
      method: 'POST',
      path: callPath(),
      headers: { ...headersOf(TEXT), expect: '100-continue' },
    });
    request.flushHeaders();
    await once(request, 'continue');
    request.write(TEXT.slice(0, -1));
    return request;
  }

  async function receive(request: ClientRequest): Promise<IncomingMessage> {
    const [response] = (await once(request, 'response')) as [IncomingMessage];
    return response;
  }

  async function readLength(response: Readable): Promise<number> {
    let length = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) length += chunk.length;
    return length;
  }

  it('are answered though their bodies come during the drain', async () => {
    const router = routerAt(0);
    const request = await begin(router);
    const received = receive(request);
    router.process.signal('SIGTERM');
    await router.process.waitFor('process.draining');
    await pause(STOP_MS);
    request.end(TEXT.slice(-1));
    const response = await received;
    expect(response.statusCode).to.equal(200);
    expect(await readLength(response)).to.be.greaterThan(0);
    expect(await router.process.exited).to.deep.equal({ code: 0, signal: null });
  });

  it('are answered whole though their callers read slowly', async () => {
    const router = routerAt(1);
    const body = JSON.stringify({ key: 'large', paddingBytes: LARGE_ANSWER_BYTES });
    const text = buildCall(body);
    const socket = connect(addressOf(router)).pause();
    socket.write(text.repeat(LARGE_ANSWERS));
    const engines = [...fleet.site.applicationEngines.values()];
    const countRuns = (): number =>
      engines.reduce((runs, { runCounts }) => runs + (runCounts['large'] ?? 0), 0);
    while (countRuns() < LARGE_ANSWERS) await pause(20);
    await pause(STOP_MS);
    router.process.signal('SIGTERM');
    await router.process.waitFor('process.draining');
    await pause(STOP_MS);
    expect(await readLength(socket)).to.be.greaterThan(LARGE_ANSWERS * LARGE_ANSWER_BYTES);
    expect(await router.process.exited).to.deep.equal({ code: 0, signal: null });
  });

  it('keep a marked router from reporting that it can be taken', async () => {
    const router = routerAt(2);
    const request = await begin(router);
    const received = receive(request);
    fleet.site.publish({ revision: 2, plannedStops: [router.host] });
    await router.process.waitFor('drain.marked');
    await pause(STOP_MS);
    const { events } = router.process;
    expect(events.filter(({ event }) => event === 'drain.done')).to.deep.equal([]);
    request.end(TEXT.slice(-1));
    const response = await received;
    expect(response.statusCode).to.equal(200);
    await readLength(response);
    await router.process.waitFor('drain.done');
  });

  it('are refused so that their callers can read it, also those that write their whole body first', async () => {
    const router = routerAt(3);
    const socket = connect(addressOf(router)).on('error', () => undefined);
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.write(buildCall(TEXT));
    while (!received.endsWith(LAST_CHUNK)) await pause(10);
    received = '';
    socket.pause();
    fleet.site.publish({ revision: 3, plannedStops: [router.host] });
    await router.process.waitFor('drain.marked');
    const text = buildCall(LARGE_BODY);
    for (let index = 0; index < text.length && !socket.destroyed; index += 50_000) {
      socket.write(text.slice(index, index + 50_000));
      await pause(10);
    }
    socket.resume();
    if (!socket.destroyed) await once(socket, 'close');
    expect(received).to.match(/^HTTP\/1.1 503 [^]*"code":"draining"/);
  });
});
