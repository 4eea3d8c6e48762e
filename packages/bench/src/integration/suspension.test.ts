import { createServer, request } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { EndpointKind } from '@poplarpick/decisions';
import { ModelEngineClient } from '@poplarpick/fleet/sidecar/model-engine-client';
import { ModelEngine } from '@poplarpick/stand-ins';

const OUTPUT_TOKENS = 60;
const RESUMPTION_DELAY_MS = 20;

describe('suspension of a stream', () => {
  it('takes effect right after a resumption, and loses no token', async () => {
    const engine = await new ModelEngine({ models: ['m'] }).start();
    const delayProxy = await startResumptionDelayProxy(engine.url);
    const { port } = delayProxy.address() as AddressInfo;
    const client = new ModelEngineClient({ baseUrl: `http://127.0.0.1:${port}` });
    const body = JSON.stringify({
      model: 'm',
      messages: [{ role: 'user', content: 'hello' }],
      metadata: { output_tokens: String(OUTPUT_TOKENS) },
      stream: true,
    });
    let tokens = 0;
    let onEnd: () => void = () => undefined;
    const ended = new Promise<void>((resolve) => (onEnd = resolve));
    const job = {
      kind: EndpointKind.Model,
      pool: 'm',
      workspace: 'w',
      method: 'POST',
      path: '/v1/chat/completions',
      headers: [],
      body: Buffer.from(body),
      repeatable: true,
    };
    const run = client.run('r1', job, {
      onFrame: (data) => (tokens += data.toString().includes('"content"') ? 1 : 0),
      onEnd: () => onEnd(),
      onFailure: (error) => expect.fail(error.message),
    });
    while (tokens < 3) await pause(5);
    for (let attempt = 0; attempt < 10; attempt += 1) {
      expect(await run.suspend?.()).to.equal(true);
      run.resume?.();
    }
    expect(await run.suspend?.()).to.equal(true);
    await pause(50);
    expect(engine.running).to.equal(0);
    run.resume?.();
    await ended;
    expect(tokens).to.equal(OUTPUT_TOKENS);
    await client.close();
    delayProxy.close();
    await engine.stop();
  });
});

/**
 * Starts a proxy to an engine that delays resumption requests, so that a suspension sent later can reach the
 * engine first.
 */
async function startResumptionDelayProxy(url: string): Promise<Server> {
  const server = createServer((incoming, outgoing) => {
    const { method, headers } = incoming;
    const forward = (): void => {
      const upstream = request(`${url}${incoming.url ?? ''}`, { method, headers }, (answer) => {
        outgoing.writeHead(answer.statusCode ?? 500, answer.headers);
        answer.pipe(outgoing);
      });
      outgoing.on('close', () => upstream.destroy());
      upstream.on('error', () => undefined);
      if (method === 'GET') upstream.end();
      else incoming.pipe(upstream);
    };
    setTimeout(forward, method === 'GET' ? RESUMPTION_DELAY_MS : 0);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}
