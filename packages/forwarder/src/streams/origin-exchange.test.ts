import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import fc from 'fast-check';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import { DatagramPair } from '@poplarpick/stand-ins';
import type { StreamKeys } from '@poplarpick/decisions';
import { OriginExchange } from './origin-exchange.ts';
import {
  decodeOriginMessage,
  encodeOriginMessage,
  isOriginMessage,
  OriginMessageKind,
} from './origin-message.ts';
import type { OriginMessage } from './origin-message.ts';
import { StreamOrigins } from './stream-origins.ts';
import { createEndpoint, createRoute, createTable } from './testing/resumable-route.ts';

const ROUTE = createRoute();

const V1 = { pool: 'p', version: 'v1' };
const KEYS: StreamKeys = { byRequest: 1, byPrompt: 2 };
const ROUTERS = 8;

/** Longer than a question for an origin waits for its answer, in ms. */
const STALL_MS = 280;

/** Time after which records have certainly been sent, in ms. */
const SENT_AFTER_MS = 100;

/** Streams in hand: as many as are told in two periods. */
const STREAMS = 30;

/** Keys in the records of these streams: two of each, to each of two keepers. */
const TOLD_KEYS = 2 * 2 * STREAMS;

/** Most records of these streams: one to each of two keepers in each period. */
const MAX_RECORDS = 4;

class Router {
  readonly origins: StreamOrigins;
  readonly exchange: OriginExchange;

  constructor(address: string, network: Network) {
    const clock = new SystemClock();
    this.origins = new StreamOrigins({ clock, isFirstStart: false, endpoints: () => [] });
    this.exchange = new OriginExchange({
      address,
      clock,
      log: createLogger({ host: address, level: LogLevel.Error, write: () => undefined }),
      origins: this.origins,
      routers: () => [...network.routers.keys()].filter((other) => other !== address),
      transmit: (target, message) => network.deliver(address, target, message),
    });
  }
}

/** Delivers the datagrams of routers in one process. */
class Network {
  readonly routers = new Map<string, Router>();
  readonly silent = new Set<string>();
  datagrams = 0;

  constructor() {
    for (let index = 1; index <= ROUTERS; index += 1) {
      const address = `10.0.0.${index}:7000`;
      this.routers.set(address, new Router(address, this));
    }
  }

  get all(): Router[] {
    return [...this.routers.values()];
  }

  deliver(sender: string, target: string, message: Buffer): void {
    this.datagrams += 1;
    if (this.silent.has(sender) || this.silent.has(target)) return;
    setImmediate(() => this.routers.get(target)?.exchange.receive(message, sender));
  }

  close(): void {
    for (const { exchange } of this.all) exchange.close();
  }
}

describe('the exchange of origins', () => {
  let network: Network;

  beforeEach(() => {
    network = new Network();
  });

  afterEach(() => {
    network.close();
  });

  async function begin(router: Router | undefined): Promise<void> {
    router?.origins.recordBegun(KEYS, V1, ROUTE);
    await sleep(SENT_AFTER_MS);
  }

  it('lets any router find the origin of a stream, though the one that began it has gone', async () => {
    const [first, ...others] = network.all;
    await begin(first);
    network.silent.add('10.0.0.1:7000');
    for (const { origins, exchange } of others) {
      const known = origins.findRecorded(1) ?? (await exchange.ask(KEYS)).origin;
      expect(known).to.deep.equal(V1);
    }
  });

  it('finds it by the prompt where the caller names no request', async () => {
    const [first, ...others] = network.all;
    await begin(first);
    for (const { origins, exchange } of others) {
      const answer = await exchange.ask({ byRequest: undefined, byPrompt: 2 });
      expect(origins.findRecorded(2) ?? answer.origin).to.deep.equal(V1);
    }
  });

  it('tells only a few routers', async () => {
    await begin(network.all[0]);
    const keepers = network.all.slice(1).filter(({ origins }) => origins.findRecorded(1));
    expect(keepers.length).to.be.within(2, 3);
    expect(network.datagrams).to.equal(keepers.length);
  });

  it('says whether a keeper has answered that it knows nothing', async () => {
    const [first] = network.all;
    expect(await first?.exchange.ask(KEYS)).to.deep.equal({
      origin: undefined,
      hasAnswered: true,
      wasAsked: true,
    });
    for (const address of network.routers.keys())
      if (address !== '10.0.0.1:7000') network.silent.add(address);
    const unanswered = await first?.exchange.ask(KEYS);
    expect(unanswered).to.deep.equal({ origin: undefined, hasAnswered: false, wasAsked: true });
  });

  it('counts the answer of a keeper that lies in the socket after a stall', async () => {
    const keeper = '10.0.0.1:7000';
    const clock = new SystemClock();
    const pair = await DatagramPair.open((message) => exchange.receive(message, keeper));
    const exchange: OriginExchange = new OriginExchange({
      address: '10.0.0.9:7000',
      clock,
      log: createLogger({ level: LogLevel.Silent }),
      origins: new StreamOrigins({ clock, isFirstStart: false, endpoints: () => [] }),
      routers: () => [keeper],
      transmit: () =>
        pair.send(encodeOriginMessage({ kind: OriginMessageKind.Answer, key: 1, origin: V1 })),
    });
    try {
      const answer = exchange.ask(KEYS);
      blockLoop(STALL_MS);
      expect(await answer).to.deep.include({ origin: V1, hasAnswered: true });
    } finally {
      exchange.close();
      pair.close();
    }
  });

  // Guards against a burst of datagrams when a second version is listed while streams run.
  it('tells the streams in hand in few datagrams once a second version is listed', async () => {
    const listed = [createEndpoint('v1')];
    const clock = new SystemClock();
    const origins = new StreamOrigins({ clock, isFirstStart: true, endpoints: () => listed });
    origins.recordRoutes(createTable([ROUTE]));
    origins.confirmEndpoints(clock.monotonic(), false);
    const records: OriginMessage[] = [];
    const exchange = new OriginExchange({
      address: '10.0.0.9:7000',
      clock,
      log: createLogger({ level: LogLevel.Silent }),
      origins,
      routers: () => ['10.0.0.1:7000', '10.0.0.2:7000'],
      transmit: (_target, message) => records.push(decodeOriginMessage(message)),
    });
    exchange.open();
    for (let stream = 0; stream < STREAMS; stream += 1) {
      origins.recordBegun({ byRequest: 2 * stream, byPrompt: 2 * stream + 1 }, V1, ROUTE);
      await sleep(1);
    }
    await sleep(2 * SENT_AFTER_MS);
    expect(records).to.deep.equal([]);
    listed.push(createEndpoint('v2'));
    const countKeys = (): number =>
      records.reduce((sum, record) => sum + ('keys' in record ? record.keys.length : 0), 0);
    while (countKeys() < TOLD_KEYS) await sleep(10);
    exchange.close();
    expect(countKeys()).to.equal(TOLD_KEYS);
    expect(records.length).to.be.at.most(MAX_RECORDS);
  });

  it('ignores datagrams that are no valid message', () => {
    const { exchange, origins } = network.all[0] ?? new Router('10.0.0.9:7000', network);
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
        exchange.receive(Buffer.from([0x90 + (bytes.length % 16), ...bytes]), '10.0.0.2:7000');
        exchange.receive(Buffer.from(bytes), '10.0.0.2:7000');
      }),
    );
    expect(origins.findRecorded(1)).to.equal(undefined);
  });

  it('tells its messages from reports, which are MessagePack maps', () => {
    expect(isOriginMessage(Buffer.from([0x92, OriginMessageKind.Query, 1]))).to.equal(true);
    expect(isOriginMessage(Buffer.from([0x8f]))).to.equal(false);
    expect(isOriginMessage(Buffer.from([0xde]))).to.equal(false);
    expect(isOriginMessage(Buffer.alloc(0))).to.equal(false);
    const query = decodeOriginMessage(Buffer.from([0x92, OriginMessageKind.Query, 1]));
    expect(query).to.deep.equal({ kind: OriginMessageKind.Query, key: 1 });
  });
});
