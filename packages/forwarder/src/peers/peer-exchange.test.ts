import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { expect } from 'chai';
import fc from 'fast-check';
import { pack } from 'msgpackr';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import { findFreePort } from '@poplarpick/stand-ins';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { PeerExchange } from './peer-exchange.ts';
import { PEER_TTL_MS, PeerTable } from './peer-table.ts';
import { makeReport } from './testing-reports.ts';

const WAIT_TIMEOUT_MS = 5_000;
/** Period of the reports that go to all known addresses, in ms. */
const FULL_LIST_PERIOD_MS = 1_100;

/** Reports that wait in a socket, more than are read at once. */
const WAITING_REPORTS = 100;

/** The system's clock, which a test can advance. */
class AdvancingClock extends SystemClock {
  advancedMs = 0;

  override monotonic(): number {
    return super.monotonic() + this.advancedMs;
  }
}

async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error('the condition was not met in time');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

async function bind(port: number): Promise<Socket> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => socket.bind(port, '127.0.0.1', resolve));
  return socket;
}

/** A socket whose first datagram in a turn goes to a port at once, even if the event loop stands still then. */
async function connectTo(port: number): Promise<Socket> {
  const socket = await bind(0);
  await new Promise<void>((resolve) => socket.connect(port, '127.0.0.1', resolve));
  return socket;
}

describe('peer table', () => {
  it('ignores duplicate and late reports, and accepts those of a restarted process', () => {
    const table = new PeerTable();
    expect(table.accept(makeReport({ sequence: 5 }), 0)).to.equal(true);
    expect(table.accept(makeReport({ sequence: 5 }), 0)).to.equal(false);
    expect(table.accept(makeReport({ sequence: 4 }), 0)).to.equal(false);
    expect(table.accept(makeReport({ startedAt: 2, sequence: 1 }), 0)).to.equal(true);
    expect(table.accept(makeReport({ startedAt: 1, sequence: 99 }), 0)).to.equal(false);
  });

  it('retains the usage of workspaces until the next one arrives, and drops silent peers', () => {
    const table = new PeerTable();
    table.accept(makeReport({ workspaces: [['w', 10, 5, 0]] }), 0);
    table.accept(makeReport({ sequence: 2 }), 100);
    expect(table.live(200)[0]?.workspaces).to.deep.equal([['w', 10, 5, 0]]);
    expect(table.countRouters(200)).to.equal(2);
    expect(table.countRouters(100 + PEER_TTL_MS + 1)).to.equal(1);
  });
});

describe('peer exchange', () => {
  const exchanges: PeerExchange[] = [];

  async function start(
    address: string,
    seeds: string[],
    clock = new SystemClock(),
  ): Promise<PeerTable> {
    const table = new PeerTable();
    const exchange = new PeerExchange({
      address,
      dataCentre: 'z',
      clock,
      log: createLogger({ level: LogLevel.Silent }),
      table,
      buildReport: () => ({ version: 1, loads: [], kept: [], lateRates: [] }),
      onReport: () => undefined,
      onRejected: () => undefined,
      onBytes: () => undefined,
    });
    exchanges.push(exchange);
    exchange.setSeeds(seeds);
    await exchange.open();
    return table;
  }

  afterEach(() => {
    for (const exchange of exchanges.splice(0)) exchange.close();
  });

  it('connects routers that share only a seed, and ignores invalid datagrams', async () => {
    const ports = await Promise.all([findFreePort(), findFreePort(), findFreePort()]);
    const [seed = '', second = '', third = ''] = ports.map((port) => `127.0.0.1:${port}`);
    const tables = await Promise.all([
      start(seed, [seed]),
      start(second, [seed]),
      start(third, [seed]),
    ]);
    const noise = createSocket('udp4');
    for (const [bytes] of fc.sample(fc.tuple(fc.uint8Array({ maxLength: 60 })), {
      seed: 3,
      numRuns: 200,
    })) {
      noise.send(bytes, ports[0] ?? 0, '127.0.0.1');
    }
    await waitFor(() => tables.every((table) => table.countRouters(performance.now()) === 3));
    noise.close();
  });

  it('goes on after a report whose sender is no address', async () => {
    const ports = await Promise.all([findFreePort(), findFreePort()]);
    const [first = '', second = ''] = ports.map((port) => `127.0.0.1:${port}`);
    const table = await start(first, []);
    const forger = createSocket('udp4');
    forger.send(pack(makeReport({ from: 'noise', dataCentre: 'z' })), ports[0] ?? 0, '127.0.0.1');
    await sleep(FULL_LIST_PERIOD_MS);
    await start(second, [first]);
    await waitFor(() => table.countRouters(performance.now()) === 2);
    forger.close();
  });

  it('forgets an address that no report has named for ten minutes', async () => {
    const [port, silentPort] = await Promise.all([findFreePort(), findFreePort()]);
    const clock = new AdvancingClock();
    const address = `127.0.0.1:${port}`;
    const silent = await bind(silentPort);
    let received = 0;
    silent.on('message', () => (received += 1));
    await start(address, [], clock);
    silent.send(pack(makeReport({ from: `127.0.0.1:${silentPort}` })), port, '127.0.0.1');
    await waitFor(() => received > 0);
    clock.advancedMs = 500_000;
    const beforeTtl = received;
    await waitFor(() => received > beforeTtl);
    clock.advancedMs = 700_000;
    await sleep(FULL_LIST_PERIOD_MS);
    const afterTtl = received;
    await sleep(2 * FULL_LIST_PERIOD_MS);
    expect(received).to.equal(afterTtl);
    silent.close();
  });

  it('drops no peer after a stall whose reports lie in the socket, and drops silent ones', async () => {
    const port = await findFreePort();
    const table = await start(`127.0.0.1:${port}`, []);
    const senders = await Promise.all(
      Array.from({ length: WAITING_REPORTS }, async () => connectTo(port)),
    );
    const sendReports = (sequence: number): void => {
      for (const sender of senders) {
        const from = `127.0.0.1:${sender.address().port}`;
        sender.send(pack(makeReport({ from, dataCentre: 'z', sequence })));
      }
    };
    const count = (): number => table.countRouters(performance.now());
    sendReports(1);
    await waitFor(() => count() === WAITING_REPORTS + 1);
    const counts: number[] = [];
    const sampling = setInterval(() => counts.push(count()), 1);
    await sleep(10);
    sendReports(2);
    blockLoop(PEER_TTL_MS + 100);
    await sleep(300);
    clearInterval(sampling);
    expect(Math.min(...counts)).to.equal(WAITING_REPORTS + 1);
    expect(table.hasLostSender(performance.now())).to.equal(false);
    await waitFor(() => count() === 1);
    for (const sender of senders) sender.close();
  });
});
