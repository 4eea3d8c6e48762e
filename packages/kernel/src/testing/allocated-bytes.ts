/** Counts what a piece of code allocates, however long its objects live, by V8's own samples. */
import { Session } from 'node:inspector/promises';
import type { HeapProfiler } from 'node:inspector';

/** Mean distance of two samples, in allocated bytes: near enough to count small objects, too. */
const SAMPLING_INTERVAL_BYTES = 64;

/** Bytes of the heap that `action` allocates. */
export async function countAllocatedBytes(action: () => void | Promise<void>): Promise<number> {
  const session = new Session();
  session.connect();
  try {
    await session.post('HeapProfiler.startSampling', {
      samplingInterval: SAMPLING_INTERVAL_BYTES,
      includeObjectsCollectedByMajorGC: true,
      includeObjectsCollectedByMinorGC: true,
    });
    await action();
    const { profile } = await session.post('HeapProfiler.stopSampling');
    return sumBytes(profile.head);
  } finally {
    session.disconnect();
  }
}

function sumBytes({ selfSize, children }: HeapProfiler.SamplingHeapProfileNode): number {
  return children.reduce((sum, child) => sum + sumBytes(child), selfSize);
}
