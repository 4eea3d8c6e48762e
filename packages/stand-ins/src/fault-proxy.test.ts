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

  function connectToProxy(): Socket {
    const [host, port] = proxy.address.split(':');
    return connect({ host, port: Number(port) }).on('error', () => undefined);
  }

  async function exchange(socket: Socket, text: string): Promise<string> {
    socket.write(text);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    return answer.toString();
  }

  it('forwards bytes in both directions', async () => {
    expect(await exchange(connectToProxy(), 'hello')).to.equal('hello');
  });

  it('closes connections and refuses new ones while cut', async () => {
    const socket = connectToProxy();
    await exchange(socket, 'hello');
    proxy.fault = Fault.Cut;
    await once(socket, 'close');
    await once(connectToProxy(), 'close');
    proxy.fault = Fault.None;
    expect(await exchange(connectToProxy(), 'again')).to.equal('again');
  });

  it('keeps a half-open connection open but silent for good, while new ones work', async () => {
    const socket = connectToProxy();
    await exchange(socket, 'hello');
    proxy.fault = Fault.HalfOpen;
    let isDataReceived = false;
    socket.on('data', () => (isDataReceived = true));
    socket.write('lost');
    expect(await exchange(connectToProxy(), 'new')).to.equal('new');
    expect(isDataReceived).to.equal(false);
    expect(socket.destroyed).to.equal(false);
  });

  for (const passesResets of [false, true]) {
    it(`passes a reset on as ${passesResets ? 'a reset' : 'an orderly close'}`, async () => {
      const server = createServer((socket) => socket.once('data', () => socket.resetAndDestroy()));
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
      const resetting = await new FaultProxy({ target, passesResets }).start();
      const [host, port] = resetting.address.split(':');
      const socket = connect({ host, port: Number(port) }).on('error', () => undefined);
      socket.write('hello');
      const hasError = await new Promise((done) => socket.resume().once('close', done));
      expect(hasError).to.equal(passesResets);
      resetting.stop();
      server.close();
    });
  }

  it('delays bytes', async () => {
    const socket = connectToProxy();
    await exchange(socket, 'hello');
    proxy.fault = Fault.Latency;
    const startedAt = performance.now();
    await exchange(socket, 'late');
    expect(performance.now() - startedAt).to.be.greaterThan(2 * 30 - 5);
  });

  it('keeps bytes in order while dripping', async () => {
    proxy.fault = Fault.Drip;
    const socket = connectToProxy();
    const text = 'abcdefgh'.repeat(32);
    socket.write(text);
    let received = '';
    while (received.length < text.length)
      received += String(((await once(socket, 'data')) as [Buffer])[0]);
    expect(received).to.equal(text);
  });
});
