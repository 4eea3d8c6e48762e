/**
 * How much of the memory of a process may be held for callers, and which part of it one request or one owner may take.
 * The shares follow what is free (dynamic thresholds): the fuller the budget, the smaller a request must be to be let in,
 * and some of it always stays free for owners that hold little.
 */

/** Memory of a process that isn't held for callers, in bytes: code, tables, connections and garbage. */
const PROCESS_BYTES = 160 * 1_024 * 1_024;

/** Part of the rest that may be held for callers; the other part is what garbage of it may take. */
const HELD_SHARE = 0.35;

/** Least budget, in bytes: a few requests of the largest size. */
const MIN_BUDGET_BYTES = 32 * 1_024 * 1_024;

/** Part of a heap that may be held for callers, where that is the only limit of a process. */
const HEAP_SHARE = 0.25;

/** A request may hold so much of what is free. */
const REQUEST_SHARE_OF_FREE = 0.25;

/** An owner may hold so many times what is free, so four fifths of the budget while it is alone. */
const OWNER_MULTIPLE_OF_FREE = 4;

/** Part of the budget that large answers and requests which are served may take; the rest is for small ones. */
const SERVED_SHARE = 0.9;

/** Size up to which an answer is small, in bytes. */
const SMALL_BYTES = 65_536;

/** Bytes held for callers by a process with so much memory, in bytes. */
export function budgetOfMemory(memoryBytes: number): number {
  return Math.max(MIN_BUDGET_BYTES, Math.floor((memoryBytes - PROCESS_BYTES) * HELD_SHARE));
}

/** Memory that a new connection may take before anything of it is charged, in bytes: a block, and its parser. */
const CONNECTION_BYTES = 96 * 1_024;

/** New connections for which a process with so much memory has room besides its budget. */
export function connectionsOfMemory(memoryBytes: number): number {
  const leftBytes = memoryBytes - PROCESS_BYTES - budgetOfMemory(memoryBytes);
  return Math.max(0, Math.floor(leftBytes / CONNECTION_BYTES));
}

/** Bytes held for callers by a process that knows only the limit of its heap, in bytes. */
export function budgetOfHeap(heapBytes: number): number {
  return Math.max(MIN_BUDGET_BYTES, Math.floor(heapBytes * HEAP_SHARE));
}

/** What is held when a request wants to hold more, in bytes. */
export interface MemoryDemand {
  budgetBytes: number;
  /** Held in all, without this request. */
  heldByOthersBytes: number;
  /** Held by the owner of this request, without this request. */
  heldByOwnerBytes: number;
  /** What this request would hold. */
  wantedBytes: number;
}

/** Whether a request may hold what it wants. */
export function fitsShares(demand: MemoryDemand): boolean {
  const { budgetBytes, heldByOthersBytes, heldByOwnerBytes, wantedBytes } = demand;
  // In calm, a request within the limits of the site is served whatever the budget is.
  if (heldByOthersBytes === 0) return wantedBytes <= budgetBytes;
  const freeBytes = budgetBytes - heldByOthersBytes;
  if (wantedBytes > freeBytes * REQUEST_SHARE_OF_FREE) return false;
  const leftBytes = freeBytes - wantedBytes;
  return heldByOwnerBytes + wantedBytes <= leftBytes * OWNER_MULTIPLE_OF_FREE;
}

/** Whether what was promised already may be held: its shares don't count, only the budget does. */
export function fitsBudget({ budgetBytes, heldByOthersBytes, wantedBytes }: MemoryDemand): boolean {
  return heldByOthersBytes + wantedBytes <= budgetBytes;
}

/** What is held for requests that are served, when one of them wants to hold more, in bytes. */
export interface ServedDemand {
  budgetBytes: number;
  /** Held for the others. */
  heldForOthersBytes: number;
  /** What this one would hold. */
  wantedBytes: number;
}

/**
 * Whether a request that is served may hold what it wants beside the others. Nobody makes room for those, so what faulty
 * endpoints send without end must leave some for small answers, whose endpoints have run the requests.
 */
export function fitsServed(demand: ServedDemand): boolean {
  const { budgetBytes, heldForOthersBytes, wantedBytes } = demand;
  return (
    wantedBytes <= SMALL_BYTES || heldForOthersBytes + wantedBytes <= budgetBytes * SERVED_SHARE
  );
}
