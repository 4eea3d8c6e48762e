/**
 * Collections of garbage that this process asks V8 for. One of all objects stops the process until it is done, or is
 * done in steps between which the process works; V8 begins the latter by itself only at the limit of its heap.
 */
import { constants, PerformanceObserver } from 'node:perf_hooks';
import type { PerformanceEntry } from 'node:perf_hooks';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Which objects are collected, and how. */
export enum CollectionKind {
  /** Those that were made lately, at once. */
  Young = 'minor',
  /** All, at once. */
  All = 'major',
  /** All, in steps. */
  AllInSteps = 'incremental',
}

/** Growth of the heap since the latest collection at which V8 begins one, in percent of what it may grow; 0 is V8's choice. */
const STEPS_TRIGGER_PERCENT = 1;

/** What Node.js tells of a collection. */
export interface CollectionEntry extends PerformanceEntry {
  /** The kind is one of Node.js's own constants. */
  detail: { kind: number };
}

type CollectFunction = (options: { type: CollectionKind.Young | CollectionKind.All }) => void;

let v8Collect: CollectFunction | undefined;

let areStepsDue = false;

/** Collects garbage, or begins to. */
export function collectNow(kind: CollectionKind): void {
  if (kind === CollectionKind.AllInSteps) {
    beginSteps();
    return;
  }
  // V8 hands out its own function to contexts only that are made after it was asked for.
  if (v8Collect === undefined) {
    setFlagsFromString('--expose-gc');
    v8Collect = runInNewContext('gc') as CollectFunction;
  }
  v8Collect({ type: kind });
}

/** Lowers V8's limit until a collection of all objects has come to its end. */
function beginSteps(): void {
  if (areStepsDue) return;
  areStepsDue = true;
  setTrigger(STEPS_TRIGGER_PERCENT);
  const observer = new PerformanceObserver((list) => {
    const entries = list.getEntries() as CollectionEntry[];
    if (!entries.some(isOfAllObjects)) return;
    observer.disconnect();
    setTrigger(0);
    areStepsDue = false;
  });
  observer.observe({ entryTypes: ['gc'] });
}

function setTrigger(percent: number): void {
  setFlagsFromString(`--incremental-marking-hard-trigger=${percent}`);
}

function isOfAllObjects({ detail }: CollectionEntry): boolean {
  return detail.kind === constants.NODE_PERFORMANCE_GC_MAJOR;
}
