import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointLoad } from '@poplarpick/decisions';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import { ManualClock } from '@poplarpick/kernel/testing/manual-clock';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import { DatagramPair } from '@poplarpick/stand-ins';
import type { EndpointRecord } from '../endpoints/endpoint-directory.ts';
import { PoisonGuard } from './poison-guard.ts';

const POISON = 1;
const SHARED = 2;
const OTHER = 3;
const STEP_MS = 50;
/** Longer than the time after which the silence of an endpoint is judged, in ms. */
const STALL_MS = 350;

describe('the guard against poison segments', () => {
  let clock: ManualClock;
  let endpoints: Map<number, EndpointRecord>;

  beforeEach(() => {
    clock = new ManualClock();
    endpoints = new Map();
  });

  function addEndpoint(incarnationHash: number): EndpointRecord {
    const record = {
      endpoint: { id: `e${incarnationHash}` },
      incarnationHash,
      load: new EndpointLoad(),
    } as unknown as EndpointRecord;
    endpoints.set(incarnationHash, record);
    return record;
  }

  function makeGuard(guardClock: Clock = clock): PoisonGuard {
    return new PoisonGuard({
      clock: guardClock,
      log: createLogger({ level: LogLevel.Silent }),
      findEndpoint: (hash) => endpoints.get(hash),
    });
  }

  function surviveOthers(guard: PoisonGuard): void {
    for (let count = 0; count < 10; count += 1) guard.recordSurvival([OTHER]);
  }

  /** Lets `guard` lose a request at a new endpoint, which stays silent unless it is sound. */
  function lose(guard: PoisonGuard, segment: number, options = { isSound: false }): void {
    const record = addEndpoint(endpoints.size + 1);
    record.load.recordBytes(clock.nowMs);
    guard.recordLoss(record, [segment]);
    clock.advance(200);
    if (options.isSound) record.load.recordBytes(clock.nowMs);
    clock.advance(800);
    surviveOthers(guard);
  }

  it('blocks the segment of requests whose endpoints fall silent for good', () => {
    const guard = makeGuard();
    for (let count = 0; count < 3; count += 1) lose(guard, POISON);
    expect(guard.findBlocked([SHARED, POISON])?.suspect).to.equal(POISON);
    expect(guard.countBlocked()).to.deep.equal({ segments: 1, requests: 0 });
  });

  it('does not take a broken answer for a crash while the endpoint goes on', () => {
    const guard = makeGuard();
    for (let count = 0; count < 10; count += 1) lose(guard, SHARED, { isSound: true });
    expect(guard.findBlocked([SHARED])).to.equal(undefined);
    expect(guard.isSuspect([SHARED])).to.equal(false);
  });

  it('takes an answer that ends with its connection for a survival only if the endpoint goes on', () => {
    const guard = makeGuard();
    lose(guard, POISON);
    lose(guard, SHARED);
    const silent = addEndpoint(90);
    const sound = addEndpoint(91);
    guard.recordUnframedEnd(silent, [POISON]);
    guard.recordUnframedEnd(sound, [SHARED]);
    clock.advance(200);
    sound.load.recordBytes(clock.nowMs);
    clock.advance(200);
    expect(guard.isSuspect([POISON])).to.equal(true);
    expect(guard.isSuspect([SHARED])).to.equal(false);
  });

  it('takes an answer that ends with its connection for a crash if others are lost and the endpoint is silent', () => {
    const guard = makeGuard();
    const crashed = addEndpoint(92);
    guard.recordUnframedEnd(crashed, [POISON]);
    guard.recordLoss(crashed, [OTHER]);
    const alone = addEndpoint(93);
    guard.recordUnframedEnd(alone, [SHARED]);
    clock.advance(300);
    expect(guard.isSuspect([POISON])).to.equal(true);
    expect(guard.isSuspect([SHARED])).to.equal(false);
  });

  it('does not take an endpoint for crashed whose bytes lie in the socket after a stall', async () => {
    const guard = makeGuard(new SystemClock());
    const record = addEndpoint(6);
    const pair = await DatagramPair.open(() => record.load.recordBytes(performance.now()));
    try {
      guard.recordLoss(record, [POISON]);
      pair.send('event');
      blockLoop(STALL_MS);
      await new Promise((resolve) => setTimeout(resolve, STALL_MS));
      expect(guard.isSuspect([POISON])).to.equal(false);
    } finally {
      pair.close();
    }
  });

  it('ignores the crash that a peer reports of an endpoint that goes on', () => {
    const guard = makeGuard();
    const record = addEndpoint(5);
    clock.advance(1_000);
    record.load.recordBytes(clock.nowMs);
    guard.applyReport({ crashes: [[5, SHARED, 500]] });
    expect(guard.isSuspect([SHARED])).to.equal(false);
  });

  it('blocks poison at all routers and nothing else, whichever reports are lost, repeated or late', () => {
    const routers = 4;
    const turn = fc.record({
      /** Router that has lost a request with the poison, and one with a sound segment. */
      loser: fc.integer({ min: 0, max: routers - 1 }),
      lost: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
      delaySteps: fc.integer({ min: 0, max: 10 }),
      repeats: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(turn, { minLength: 8, maxLength: 8 }), (turns) => {
        clock = new ManualClock();
        endpoints = new Map();
        const guards = Array.from({ length: routers }, () => makeGuard());
        for (const { loser, lost, delaySteps, repeats } of turns) {
          const record = addEndpoint(endpoints.size + 1);
          guards[loser]?.recordLoss(record, [POISON, SHARED]);
          for (let step = 0; step < 20; step += 1) {
            clock.advance(STEP_MS);
            guards.forEach(surviveOthers);
            if (step === 12) guards[(loser + 1) % routers]?.recordSurvival([SHARED]);
            if (step % 2 === 0) exchange(guards, lost, delaySteps, repeats);
          }
        }
        for (const guard of guards) {
          expect(guard.findBlocked([POISON])?.suspect).to.equal(POISON);
          expect(guard.findBlocked([SHARED])).to.equal(undefined);
        }
      }),
      { seed: 29, numRuns: 60 },
    );
  });

  /** Lets each router send its report to the others; some datagrams are lost, late or repeated. */
  function exchange(
    guards: readonly PoisonGuard[],
    lost: readonly boolean[],
    delaySteps: number,
    repeats: boolean,
  ): void {
    guards.forEach((from, sender) => {
      const report = from.buildReport();
      guards.forEach((to, receiver) => {
        if (from === to) return;
        // A third of the datagrams is lost at most, and not always the same ones.
        const draw = (sender * 5 + receiver * 3 + clock.nowMs / STEP_MS) % lost.length;
        if (lost[draw] === true && draw % 3 === 0) return;
        clock.after(delaySteps * STEP_MS, () => to.applyReport(report));
        if (repeats) clock.after((delaySteps + 4) * STEP_MS, () => to.applyReport(report));
      });
    });
  }
});
