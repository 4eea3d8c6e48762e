import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import type { PlannedOrder } from '@poplarpick/decisions';
import { ConnectionEnd, ScriptedEngine } from '@poplarpick/stand-ins';
import { EngineControlClient, OrderOutcome } from './engine-control-client.ts';

/** Time after which the connection of an order that has ended is idle, in ms. */
const IDLE_MS = 100;

function respond(outcome: OrderOutcome): string {
  const body = JSON.stringify({ result: outcome });
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

describe('the control client of an engine', () => {
  // Guards against orders that count as obeyed because the engine has written an earlier answer once more.
  it('takes no outcome that the engine repeats on a kept connection for that of another order', async () => {
    const engine = createServer((socket) => {
      socket.on('error', () => undefined);
      const earlier = firstOutcomes.shift() ?? OrderOutcome.Busy;
      socket.on('data', () => socket.write(respond(earlier)));
    });
    const firstOutcomes = [OrderOutcome.Done];
    engine.listen(0, '127.0.0.1');
    await once(engine, 'listening');
    const { port } = engine.address() as AddressInfo;
    const client = new EngineControlClient(`http://127.0.0.1:${port}`);
    const order = {} as PlannedOrder;
    const first = await client.sendOrder(order, '1');
    await new Promise((resolve) => setTimeout(resolve, IDLE_MS));
    const second = await client.sendOrder(order, '2');
    await client.close();
    engine.close();
    expect([first, second]).to.deep.equal([OrderOutcome.Done, OrderOutcome.Busy]);
  });

  const STATE = {
    models: [],
    adapters: [],
    version: 'v1',
    role: 'decode',
    fencing: '',
    loading: false,
  };

  // Guards against orders that count as obeyed, and states that count as read, from the answer of a failure.
  for (const status of [202, 404, 500]) {
    it(`takes no outcome or state from an answer with status ${status}`, async () => {
      const bodies = [{ result: OrderOutcome.Done }, STATE].map((value) => JSON.stringify(value));
      const engine = await new ScriptedEngine((line) => {
        const body = bodies[line.startsWith('POST') ? 0 : 1] ?? '';
        const text = `HTTP/1.1 ${status} Scripted\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
        return { bytes: Buffer.from(text), end: ConnectionEnd.Close };
      }).start();
      const client = new EngineControlClient(engine.url);
      const results = await Promise.allSettled([
        client.sendOrder({} as PlannedOrder, '1'),
        client.readState(),
      ]);
      await client.close();
      engine.stop();
      expect(results.map((result) => result.status)).to.deep.equal(['rejected', 'rejected']);
    });
  }
});
