/**
 * The listeners of one process, with what they share: the memory that may be held for callers, and the turns of the event
 * loop. Counts what was given up for lack of room, and logs it in one line a second at most, whatever comes.
 */
import type { HoldingKind } from '@poplarpick/decisions';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { GarbageCollector } from './garbage-collector.ts';
import type { CollectionKind } from './v8-collections.ts';
import { ListenerGuard } from './listener-guard.ts';
import type { ClosingReason, ListenerGuardOptions, ListenerResources } from './listener-guard.ts';
import { MemoryBudget } from './memory-budget.ts';
import { WorkTurns } from './work-turns.ts';

/** Shortest time between two lines about what was given up, in ms. */
const LOG_PERIOD_MS = 1_000;

const MEMORY_CHECK_PERIOD_MS = 5_000;

/** Options of a `ProcessListeners`. */
export interface ProcessListenersOptions {
  clock: Clock;
  log: Logger;
  /** Memory that may be held for callers, in bytes. */
  budgetBytes: number;
  /** Memory of the host for this process, in bytes; garbage is left to V8 by default. */
  memoryBytes?: number | undefined;
}

/** Receives counts for metrics. */
export interface PressureRecorder {
  recordYield(kind: HoldingKind): void;
  recordClosing(listener: string, reason: ClosingReason): void;
  recordCollection(kind: CollectionKind): void;
}

/** All listeners of a process. */
export class ProcessListeners {
  readonly budget: MemoryBudget;
  private readonly garbage: GarbageCollector;
  private garbageTimer: Timer | undefined;
  readonly guards: ListenerGuard[] = [];
  private readonly resources: ListenerResources;
  private readonly recorders: PressureRecorder[] = [];
  /** What was given up since the latest line: counts by kind of holding, or by listener and reason. */
  private counts = new Map<string, number>();
  /** Who held most of what was given up, and how much, in bytes. */
  private ownerBytes = new Map<string, number>();
  private isLineDue = false;

  constructor(options: ProcessListenersOptions) {
    const { clock, log, budgetBytes, memoryBytes = Number.POSITIVE_INFINITY } = options;
    this.garbage = new GarbageCollector({
      memoryBytes,
      clock,
      heldBytes: () => this.budget.heldBytes,
      onCollected: (kind) => {
        for (const recorder of this.recorders) recorder.recordCollection(kind);
      },
    });
    this.budget = new MemoryBudget({ budgetBytes, clock, garbage: this.garbage });
    this.resources = { clock, log, budget: this.budget, turns: new WorkTurns() };
    this.budget.onYield((kind, owner, bytes) => {
      for (const recorder of this.recorders) recorder.recordYield(kind);
      this.ownerBytes.set(owner, (this.ownerBytes.get(owner) ?? 0) + bytes);
      this.count(kind);
    });
  }

  /** Begins to keep the process within the memory of its host. */
  open(): void {
    const { clock } = this.resources;
    this.garbageTimer ??= clock.every(MEMORY_CHECK_PERIOD_MS, () => this.garbage.check());
  }

  close(): void {
    this.garbageTimer?.stop();
    this.garbageTimer = undefined;
  }

  /** Adds a recorder of what is given up. */
  addRecorder(recorder: PressureRecorder): void {
    this.recorders.push(recorder);
  }

  /** Creates the guard of a further listener. */
  guard(options: Omit<ListenerGuardOptions, keyof ListenerResources>): ListenerGuard {
    const guard = new ListenerGuard({ ...this.resources, ...options });
    guard.onClosing((reason) => {
      for (const recorder of this.recorders) recorder.recordClosing(guard.name, reason);
      this.count(`${guard.name}_${reason}`);
    });
    this.guards.push(guard);
    return guard;
  }

  private count(what: string): void {
    this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
    if (this.isLineDue) return;
    this.isLineDue = true;
    this.resources.clock.after(LOG_PERIOD_MS, () => this.writeLine());
  }

  private writeLine(): void {
    const { counts, ownerBytes, budget } = this;
    this.isLineDue = false;
    this.counts = new Map();
    this.ownerBytes = new Map();
    const [owner] = [...ownerBytes].sort(([, first], [, second]) => second - first)[0] ?? [];
    this.resources.log.warn({
      event: 'listener.pressure',
      ...Object.fromEntries(counts),
      largest_owner: owner,
      held_bytes: budget.heldBytes,
      budget_bytes: budget.budgetBytes,
      connections: this.guards.reduce((sum, { connectionCount }) => sum + connectionCount, 0),
    });
  }
}
