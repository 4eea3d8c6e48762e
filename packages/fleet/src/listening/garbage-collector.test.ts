import { expect } from 'chai';
import { GarbageCollector } from './garbage-collector.ts';
import { CollectionKind } from './v8-collections.ts';

const MIB = 1_048_576;
const MEMORY_BYTES = 250 * MIB;
/** A process that is calm on a small host takes so much of its memory. */
const CALM_BYTES = 195 * MIB;
const FULL_BYTES = 220 * MIB;

describe('the garbage of a process', () => {
  let now: number;
  let residentBytes: number;
  let bufferBytes: number;
  let heldBytes: number;
  let collected: CollectionKind[];
  let garbage: GarbageCollector;

  beforeEach(() => {
    now = 0;
    residentBytes = 125 * MIB;
    bufferBytes = 0;
    heldBytes = 0;
    collected = [];
    garbage = new GarbageCollector({
      memoryBytes: MEMORY_BYTES,
      clock: { monotonic: () => now },
      heldBytes: () => heldBytes,
      readMemory: () => ({ residentBytes, bufferBytes }),
      collect: (kind) => void collected.push(kind),
    });
  });

  function read(mebibytes: number): void {
    for (let count = 0; count < mebibytes; count += 1) garbage.recordRead(MIB);
  }

  it('is left to V8 while there is room', async () => {
    bufferBytes = 60 * MIB;
    for (let count = 0; count < 100; count += 1) {
      garbage.recordRead(MIB);
      garbage.recordYield(MIB);
      garbage.check();
    }
    await new Promise(setImmediate);
    expect(collected).to.deep.equal([]);
  });

  // Guards against a calm process on a small host that spends its processor time on collections of nothing.
  it('is left to V8 while there is little of it, however much memory the process takes', () => {
    residentBytes = CALM_BYTES;
    bufferBytes = 45 * MIB;
    heldBytes = 30 * MIB;
    for (now = 0; now < 10_000; now += 20) {
      read(2);
      garbage.check();
    }
    expect(collected).to.deep.equal([]);
  });

  it('is collected as it comes once the memory fills', async () => {
    residentBytes = CALM_BYTES;
    bufferBytes = 30 * MIB;
    read(4);
    expect(collected).to.deep.equal([CollectionKind.Young, CollectionKind.Young]);
    for (let count = 0; count < 16; count += 1) garbage.recordYield(MIB);
    await new Promise(setImmediate);
    expect(collected.at(-1)).to.equal(CollectionKind.All);
  });

  it('is all collected once much of it has become old', () => {
    residentBytes = CALM_BYTES;
    bufferBytes = 60 * MIB;
    read(2);
    expect(collected).to.deep.equal([CollectionKind.All]);
  });

  it('is all collected again and again, with pauses, while it fills the memory', () => {
    residentBytes = FULL_BYTES;
    for (now = 0; now < 180; now += 20) {
      garbage.check();
      residentBytes += 3 * MIB;
    }
    const { All, AllInSteps } = CollectionKind;
    expect(collected).to.deep.equal([AllInSteps, All, All]);
  });

  // Guards against collections without end where what fills the memory is no garbage.
  it('is collected once, in steps, while the process is nearly full and does not grow', () => {
    residentBytes = FULL_BYTES;
    for (now = 0; now < 10_000; now += 20) garbage.check();
    expect(collected).to.deep.equal([CollectionKind.AllInSteps]);
  });

  // Guards against standstills of a router that is merely busy on a small host.
  it('is collected in steps while the process grows slowly, and at once where no memory is left', () => {
    residentBytes = 0.86 * MEMORY_BYTES;
    for (now = 0; now < 30_000; now += 1_000) {
      garbage.check();
      residentBytes += MIB;
    }
    const { All, AllInSteps } = CollectionKind;
    expect(collected).to.deep.equal([AllInSteps, AllInSteps, All, All]);
  });

  it('is all collected at once while the process grows fast', () => {
    residentBytes = 0.75 * MEMORY_BYTES;
    for (now = 0; now <= 120; now += 20) {
      garbage.check();
      residentBytes += 5 * MIB;
    }
    expect(collected).to.deep.equal([CollectionKind.All]);
  });
});
