import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { Fault, FaultProxy } from './fault-proxy.ts';

describe('FaultProxy', () => {
  let echo: Server;
  let proxy: FaultProxy;

  beforeEach(async () => {
    echo = createServer((socket) => socket.on('error', () => undefined).pipe(socket));
    echo.listen(0, '127.0.0.1');
    await once(echo, 'listening');
    proxy = await new FaultProxy({
      target: `127.0.0.1:${(echo.address() as AddressInfo).port}`,
      latencyMs: 30,
    }).start();
  });

  afterEach(() => {
    proxy.stop();
    echo.close();
  });

  function dial(): Socket {
    const [host, port] = proxy.address.split(':');
    return connect({ host, port: Number(port) }).on('error', () => undefined);
  }

  async function ask(socket: Socket, text: string): Promise<string> {
    socket.write(text);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    return answer.toString();
  }

  it('passes bytes both ways', async () => {
    expect(await ask(dial(), 'hello')).to.equal('hello');
  });

  it('closes connections and refuses new ones while cut', async () => {
    const socket = dial();
    await ask(socket, 'hello');
    proxy.fault = Fault.Cut;
    await once(socket, 'close');
    await once(dial(), 'close');
    proxy.fault = Fault.None;
    expect(await ask(dial(), 'again')).to.equal('again');
  });

  it('leaves a half-open connection silent for good, while new ones work', async () => {
    const socket = dial();
    await ask(socket, 'hello');
    proxy.fault = Fault.HalfOpen;
    let heard = false;
    socket.on('data', () => (heard = true));
    socket.write('lost');
    expect(await ask(dial(), 'new')).to.equal('new');
    expect(heard).to.equal(false);
    expect(socket.destroyed).to.equal(false);
  });

  it('delays bytes', async () => {
    const socket = dial();
    await ask(socket, 'hello');
    proxy.fault = Fault.Latency;
    const startedAt = performance.now();
    await ask(socket, 'late');
    expect(performance.now() - startedAt).to.be.greaterThan(2 * 30 - 5);
  });

  it('drips bytes in order', async () => {
    proxy.fault = Fault.Drip;
    const socket = dial();
    const text = 'abcdefgh'.repeat(32);
    socket.write(text);
    let heard = '';
    while (heard.length < text.length)
      heard += String(((await once(socket, 'data')) as [Buffer])[0]);
    expect(heard).to.equal(text);
  });
});
