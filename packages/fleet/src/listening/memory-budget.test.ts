import fc from 'fast-check';
import { expect } from 'chai';
import { HoldingKind } from '@poplarpick/decisions';
import { MemoryBudget } from './memory-budget.ts';
import type { Holding } from './memory-budget.ts';

const MIB = 1_048_576;
const BUDGET = 40 * MIB;
const LARGE = 4 * MIB;
const ORDINARY = 32_768;
const SEED = 54;
const RUNS = 200;

function createBudget(): { budget: MemoryBudget; pass: (ms: number) => void } {
  let now = 0;
  const budget = new MemoryBudget({
    budgetBytes: BUDGET,
    clock: { monotonic: () => now },
  });
  return { budget, pass: (ms) => (now += ms) };
}

function open(budget: MemoryBudget, kind: HoldingKind, owner: string): Holding {
  return budget.open({ kind, owner, onYield: () => undefined });
}

/** What a crowd does with one of its connections. */
const step = fc.record({
  kind: fc.constantFrom(...Object.values(HoldingKind)),
  owner: fc.constantFrom('a', 'b', '127.0.0.1'),
  bytes: fc.integer({ min: 1, max: LARGE }),
  passMs: fc.integer({ min: 0, max: 400 }),
  isPromised: fc.boolean(),
  isReleased: fc.boolean(),
});

describe('the memory budget of a process', () => {
  it('is never exceeded, and counts what is held, whatever is asked for', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
        const { budget, pass } = createBudget();
        const holdings: Holding[] = [];
        for (const { kind, owner, bytes, passMs, isPromised, isReleased } of steps) {
          const holding = open(budget, kind, owner);
          if (isPromised) holding.holdPromised(bytes);
          else holding.hold(bytes);
          holdings.push(holding);
          if (isReleased) holdings[Math.floor(holdings.length / 2)]?.release();
          pass(passMs);
          const held = holdings.reduce((sum, entry) => sum + entry.bytes, 0);
          expect(budget.heldBytes).to.equal(held);
          expect(held).to.be.at.most(BUDGET);
        }
        for (const holding of holdings) holding.release();
        expect(budget.heldBytes).to.equal(0);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('has room for an ordinary request of the same owner beside a crowd that serves nothing', () => {
    const kinds = Object.values(HoldingKind).filter((kind) => kind !== HoldingKind.ServedRequest);
    const member = fc.record({
      kind: fc.constantFrom(...kinds),
      bytes: fc.integer({ min: 1, max: LARGE }),
      passMs: fc.integer({ min: 0, max: 100 }),
    });
    fc.assert(
      fc.property(fc.array(member, { maxLength: 80 }), (crowd) => {
        const { budget, pass } = createBudget();
        for (const { kind, bytes, passMs } of crowd) {
          open(budget, kind, 'space').hold(bytes);
          pass(passMs);
        }
        pass(1);
        const ordinary = open(budget, HoldingKind.AwaitedBody, 'space');
        expect(ordinary.hold(ORDINARY)).to.equal(true);
        ordinary.become(HoldingKind.ServedRequest);
        for (const { kind, bytes, passMs } of crowd) {
          open(budget, kind, 'space').hold(bytes);
          pass(passMs);
        }
        expect(ordinary.bytes).to.equal(ORDINARY);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('has room for an ordinary request of another owner beside whole requests that no engine answers', () => {
    const { budget, pass } = createBudget();
    for (let count = 0; count < 500; count += 1) {
      const holding = open(budget, HoldingKind.AwaitedBody, 'crowd');
      if (holding.hold(count % 2 === 0 ? LARGE : ORDINARY))
        holding.become(HoldingKind.ServedRequest);
      pass(1);
    }
    expect(open(budget, HoldingKind.AwaitedBody, 'space').hold(LARGE / 4)).to.equal(true);
  });

  it('takes a caller that sends a byte at a time for one that is stalled', () => {
    const { budget, pass } = createBudget();
    const trickle = open(budget, HoldingKind.AwaitedBody, 'space');
    const upload = open(budget, HoldingKind.AwaitedBody, 'space');
    for (let tick = 0; tick < 12; tick += 1) {
      trickle.hold(LARGE + tick);
      upload.hold((tick + 1) * 65_536);
      pass(100);
    }
    const others = Array.from({ length: 9 }, () => open(budget, HoldingKind.ServedRequest, 'x'));
    for (const other of others) other.holdPromised(LARGE);
    expect(trickle.bytes).to.equal(0);
    expect(upload.bytes).to.equal(12 * 65_536);
  });

  // Guards against answers that sound endpoints have given and that are thrown away beside answers without end.
  it('has room for small answers beside large ones without end', () => {
    const { budget } = createBudget();
    const large = Array.from({ length: 60 }, () => open(budget, HoldingKind.ServedRequest, 'x'));
    for (let bytes = MIB; bytes <= LARGE; bytes += MIB)
      for (const answer of large) answer.holdPromised(bytes);
    for (let count = 0; count < 50; count += 1)
      expect(open(budget, HoldingKind.ServedRequest, 'y').holdPromised(65_536)).to.equal(true);
  });
});
