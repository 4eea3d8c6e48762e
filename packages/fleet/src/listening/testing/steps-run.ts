/** Program of a test: works, asks V8 for a collection in steps, and prints how many of all objects came to their end. */
import { constants, PerformanceObserver } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { CollectionKind, collectNow } from '../v8-collections.ts';
import type { CollectionEntry } from '../v8-collections.ts';

const ROUNDS_BEFORE = 50;
const ROUNDS_AFTER = 450;

let count = 0;

const observer = new PerformanceObserver((list) => {
  for (const { detail } of list.getEntries() as CollectionEntry[])
    if (detail.kind === constants.NODE_PERFORMANCE_GC_MAJOR) count += 1;
});

/** Makes objects that stay, as a process at work does, and leaves the event loop to others. */
async function work(rounds: number): Promise<void> {
  const made: unknown[] = [];
  for (let round = 0; round < rounds; round += 1) {
    made.push(Array.from({ length: 500 }, (_, index) => ({ index: [index] })));
    await sleep(1);
  }
}

async function waitForCollection(): Promise<void> {
  while (count === 0) await sleep(1);
}

observer.observe({ entryTypes: ['gc'] });
collectNow(CollectionKind.All);
await waitForCollection();
count = 0;
await work(ROUNDS_BEFORE);
const before = count;
collectNow(CollectionKind.AllInSteps);
await work(ROUNDS_AFTER);
process.stdout.write(JSON.stringify({ before, after: count - before }));
process.exit(0);
