import { expect } from 'chai';
import fc from 'fast-check';
import { DrainSource, MAX_PAUSE_MS } from '@poplarpick/decisions';
import type { Endpoint } from '@poplarpick/decisions';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import { EndpointClient } from './endpoint-client.ts';
import { EndpointDirectory } from './endpoint-directory.ts';
import type { EndpointRecord } from './endpoint-directory.ts';
import type { CallProtocol } from '../calls/call-protocol.ts';

const POOL = 'pool';
const IDS = ['a', 'b'];
const ADDRESSES = ['127.0.0.1:1', '127.0.0.1:2'];
const NUM_RUNS = 2_000;
const SEED = 17;

/** What a router hears, in any order. */
type Step =
  | { kind: 'store'; id: string; born: number; address: string; isDraining: boolean }
  | { kind: 'gone'; id: string }
  | { kind: 'answer'; id: string }
  | { kind: 'report'; id: string; born: number; address: string }
  | { kind: 'pause'; id: string; durationMs: number }
  | { kind: 'time'; elapsedMs: number }
  | { kind: 'wall'; stepMs: number };

const incarnation = {
  id: fc.constantFrom(...IDS),
  born: fc.integer({ min: 1, max: 2 }),
  address: fc.constantFrom(...ADDRESSES),
};
const id = fc.constantFrom(...IDS);

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('store' as const), ...incarnation, isDraining: fc.boolean() }),
    fc.record({ kind: fc.constant('gone' as const), id }),
    fc.record({ kind: fc.constant('answer' as const), id }),
    fc.record({ kind: fc.constant('report' as const), ...incarnation }),
    fc.record({
      kind: fc.constant('pause' as const),
      id,
      durationMs: fc.double({ min: -1_000, max: 10_000, noNaN: true }),
    }),
    fc.record({ kind: fc.constant('time' as const), elapsedMs: fc.nat(5_000) }),
    fc.record({
      kind: fc.constant('wall' as const),
      stepMs: fc.integer({ min: -60_000, max: 60_000 }),
    }),
  ),
  { maxLength: 40 },
);

/** Clocks that a test moves; a suspension of the host moves only the wall clock. */
class TestClock implements Pick<Clock, 'monotonic' | 'now'> {
  elapsedMs = 0;
  wallOffsetMs = 0;

  monotonic(): number {
    return this.elapsedMs;
  }

  now(): number {
    return this.elapsedMs + this.wallOffsetMs;
  }
}

/** What the directory must have remembered of one incarnation. */
interface Expected {
  isDraining: boolean;
  pausedUntil: number;
}

/** A directory and the model of what it was told. */
class Scenario {
  readonly clock = new TestClock();
  readonly directory = new EndpointDirectory({
    clock: this.clock as unknown as Clock,
    log: createLogger({ level: LogLevel.Silent }),
    createClient: (endpoint) =>
      new EndpointClient({
        address: endpoint.address,
        connectionLimit: 1,
        protocol: undefined as unknown as CallProtocol,
      }),
    onRemoved: () => undefined,
    onDrain: () => undefined,
    onPause: () => undefined,
  });
  private readonly expected = new Map<string, Expected>();

  apply(step: Step): void {
    switch (step.kind) {
      case 'store':
        this.directory.update(makeEndpoint(step));
        if (step.isDraining) this.expect(this.find(step.id)).isDraining = true;
        return;
      case 'gone':
        this.directory.remove(step.id);
        return;
      case 'answer':
        this.withRecord(step.id, (record) => this.drain(record, DrainSource.Endpoint));
        return;
      case 'report':
        this.withRecord(step.id, (record) => {
          const { startedAt, address } = record.endpoint;
          const isSame = startedAt === step.born && address === step.address;
          if (isSame) this.drain(record, DrainSource.Peer);
        });
        return;
      case 'pause':
        this.withRecord(step.id, (record) => this.pause(record, step.durationMs));
        return;
      case 'time':
        this.clock.elapsedMs += step.elapsedMs;
        return;
      case 'wall':
        this.clock.wallOffsetMs += step.stepMs;
    }
  }

  /** Checks that exactly the incarnations that take requests are available. */
  check(): void {
    const available = new Set(this.directory.findAvailable(POOL));
    for (const record of this.directory.all()) {
      const { isDraining, pausedUntil } = this.expect(record);
      const takesRequests = !isDraining && this.clock.elapsedMs >= pausedUntil;
      expect(available.has(record), record.incarnation).to.equal(takesRequests);
      expect(this.directory.findByHash(record.incarnationHash)).to.equal(record);
    }
  }

  private drain(record: EndpointRecord, source: DrainSource): void {
    this.directory.drain(record, source);
    this.expect(record).isDraining = true;
  }

  private pause(record: EndpointRecord, durationMs: number): void {
    this.directory.pause(record, { text: String(durationMs), durationMs });
    const expected = this.expect(record);
    const until = this.clock.elapsedMs + Math.min(MAX_PAUSE_MS, durationMs);
    expected.pausedUntil = Math.max(expected.pausedUntil, until);
  }

  private withRecord(endpointId: string, act: (record: EndpointRecord) => void): void {
    const record = this.directory.find(endpointId);
    if (record !== undefined) act(record);
  }

  private find(endpointId: string): EndpointRecord {
    const record = this.directory.find(endpointId);
    if (record === undefined) throw new Error(`endpoint ${endpointId} is missing`);
    return record;
  }

  private expect(record: EndpointRecord): Expected {
    const known = this.expected.get(record.incarnation);
    if (known !== undefined) return known;
    const created = { isDraining: false, pausedUntil: Number.NEGATIVE_INFINITY };
    this.expected.set(record.incarnation, created);
    return created;
  }
}

function makeEndpoint(step: {
  id: string;
  born: number;
  address: string;
  isDraining: boolean;
}): Endpoint {
  const { id: endpointId, born, address, isDraining } = step;
  const place = { pool: POOL, dataCentre: 'z', slots: 8 };
  return { id: endpointId, startedAt: born, address, isDraining, ...place };
}

describe('endpoint directory', () => {
  it('never offers an incarnation that drains or pauses, and always the others, whatever the order', () => {
    fc.assert(
      fc.property(steps, (sequence) => {
        const scenario = new Scenario();
        for (const step of sequence) {
          scenario.apply(step);
          scenario.check();
        }
      }),
      { seed: SEED, numRuns: NUM_RUNS },
    );
  });

  it('tells when a pool whose endpoints all pause has one again', () => {
    const { directory, clock } = new Scenario();
    for (const endpointId of IDS) {
      directory.update(
        makeEndpoint({ id: endpointId, born: 1, address: '127.0.0.1:1', isDraining: false }),
      );
    }
    const [first, second] = [...directory.all()];
    if (first === undefined || second === undefined) throw new Error('an endpoint is missing');
    directory.pause(first, { text: '3', durationMs: 3_000 });
    expect(directory.timeUntilAvailableMs(POOL)).to.equal(undefined);
    directory.pause(second, { text: '2', durationMs: 2_000 });
    clock.elapsedMs = 500;
    expect(directory.timeUntilAvailableMs(POOL)).to.equal(1_500);
    directory.drain(second, DrainSource.Peer);
    expect(directory.timeUntilAvailableMs(POOL)).to.equal(2_500);
    directory.drain(first, DrainSource.Store);
    expect(directory.timeUntilAvailableMs(POOL)).to.equal(undefined);
  });
});
