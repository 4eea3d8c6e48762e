import { execFile } from 'node:child_process';
import { constants, PerformanceObserver } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { CollectionKind, collectNow } from './v8-collections.ts';
import type { CollectionEntry } from './v8-collections.ts';

const { NODE_PERFORMANCE_GC_MAJOR: MAJOR, NODE_PERFORMANCE_GC_MINOR: MINOR } = constants;
const WAIT_MS = 5_000;
const STEPS_RUN = fileURLToPath(new URL('testing/steps-run.ts', import.meta.url));

const runFile = promisify(execFile);

describe('collections that V8 is asked for', () => {
  let kinds: number[];
  let observer: PerformanceObserver;

  beforeEach(() => {
    kinds = [];
    observer = new PerformanceObserver((list) => {
      for (const entry of list.getEntries() as CollectionEntry[]) kinds.push(entry.detail.kind);
    });
    observer.observe({ entryTypes: ['gc'] });
  });

  afterEach(() => observer.disconnect());

  function count(kind: number): number {
    return kinds.filter((other) => other === kind).length;
  }

  async function waitFor(kind: number): Promise<void> {
    const endsAt = performance.now() + WAIT_MS;
    while (count(kind) === 0 && performance.now() < endsAt) await sleep(1);
  }

  // Guards against standstills of a busy process. A process of its own: the heap of the tests has room for longer.
  it('are done in steps while the process works', async () => {
    const { stdout } = await runFile(process.execPath, ['--import', 'tsx', STEPS_RUN]);
    const { before, after } = JSON.parse(stdout) as { before: number; after: number };
    expect(before).to.equal(0);
    expect(after).to.be.within(1, 2);
  });

  it('are done at once', async () => {
    collectNow(CollectionKind.Young);
    await waitFor(MINOR);
    expect(count(MINOR)).to.be.at.least(1);
    collectNow(CollectionKind.All);
    await waitFor(MAJOR);
    expect(count(MAJOR)).to.be.at.least(1);
  });
});
