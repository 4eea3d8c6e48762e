/**
 * The memory that one process holds for callers, over all of its listeners. Whatever is held is charged here before it is
 * kept; when the budget is full, `pickYielding` says who gives up what is held for it.
 */
import {
  fitsBudget,
  fitsServed,
  fitsShares,
  HoldingKind,
  pickYielding,
} from '@poplarpick/decisions';
import type { HoldingState, MemoryDemand } from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';
import { BlockPool } from './block-pool.ts';
import type { GarbageCollector } from './garbage-collector.ts';

/** Growth or shrinkage that counts as progress, in bytes: a caller that sends a byte at a time makes none. */
const PROGRESS_BYTES = 16_384;

const NO_COLLECTOR = { recordRead: () => undefined, recordYield: () => undefined };

/** Options of a `MemoryBudget`. */
export interface MemoryBudgetOptions {
  budgetBytes: number;
  clock: Pick<Clock, 'monotonic'>;
  /** Collects what is given up; V8 alone does by default. */
  garbage?: Pick<GarbageCollector, 'recordRead' | 'recordYield'>;
}

/** Options of a `Holding`. */
export interface HoldingOptions {
  kind: HoldingKind;
  owner: string;
  /** Ends what is held, since another caller needs the room. Not called after `release`. */
  onYield: () => void;
}

/** Called when a holding has yielded, or when a charge was refused. */
export type YieldListener = (kind: HoldingKind, owner: string, bytes: number) => void;

/** The budget of one process. */
export class MemoryBudget {
  readonly budgetBytes: number;
  readonly clock: Pick<Clock, 'monotonic'>;
  readonly blocks: BlockPool;
  readonly garbage: Pick<GarbageCollector, 'recordRead' | 'recordYield'>;
  private readonly yielding = new Set<Holding>();
  private readonly ownerBytes = new Map<string, number>();
  private readonly kindBytes = new Map<HoldingKind, number>();
  private readonly listeners: YieldListener[] = [];
  private total = 0;

  constructor({ budgetBytes, clock, garbage }: MemoryBudgetOptions) {
    this.garbage = garbage ?? NO_COLLECTOR;
    this.blocks = new BlockPool(this.garbage);
    this.budgetBytes = budgetBytes;
    this.clock = clock;
  }

  /** Bytes held now. */
  get heldBytes(): number {
    return this.total;
  }

  /** Bytes of one kind held now. */
  heldOf(kind: HoldingKind): number {
    return this.kindBytes.get(kind) ?? 0;
  }

  onYield(listener: YieldListener): void {
    this.listeners.push(listener);
  }

  /** A holding of nothing yet. */
  open(options: HoldingOptions): Holding {
    return new Holding(this, options);
  }

  /** Makes room for what a holding wants; false if nobody who goes before it can yield. For `Holding`. */
  makeRoom(holding: Holding, wantedBytes: number, isPromised: boolean): boolean {
    if (isPromised && !this.fitsBesideServed(holding, wantedBytes)) {
      this.report(holding);
      return false;
    }
    while (!this.fits(holding, wantedBytes, isPromised)) {
      const first = pickYielding(this.yielding, this.clock.monotonic());
      if (first === undefined || first === holding) {
        this.report(holding);
        return false;
      }
      this.report(first);
      if (first.kind !== HoldingKind.AwaitedBody) this.garbage.recordYield(first.bytes);
      first.yield();
    }
    return true;
  }

  /** Records that a holding changes by so many bytes. For `Holding`. */
  record({ kind, owner }: HoldingState, change: number): void {
    this.total += change;
    this.kindBytes.set(kind, this.heldOf(kind) + change);
    const ofOwner = (this.ownerBytes.get(owner) ?? 0) + change;
    if (ofOwner === 0) this.ownerBytes.delete(owner);
    else this.ownerBytes.set(owner, ofOwner);
  }

  /** Records whether a holding may yield. For `Holding`. */
  track(holding: Holding): void {
    if (holding.kind === HoldingKind.ServedRequest || holding.bytes === 0)
      this.yielding.delete(holding);
    else this.yielding.add(holding);
  }

  private fits({ bytes, owner }: Holding, wantedBytes: number, isPromised: boolean): boolean {
    const demand: MemoryDemand = {
      budgetBytes: this.budgetBytes,
      heldByOthersBytes: this.total - bytes,
      heldByOwnerBytes: (this.ownerBytes.get(owner) ?? 0) - bytes,
      wantedBytes,
    };
    return isPromised ? fitsBudget(demand) : fitsShares(demand);
  }

  private fitsBesideServed({ kind, bytes }: Holding, wantedBytes: number): boolean {
    if (kind !== HoldingKind.ServedRequest) return true;
    const { budgetBytes } = this;
    return fitsServed({ budgetBytes, heldForOthersBytes: this.heldOf(kind) - bytes, wantedBytes });
  }

  private report({ kind, owner, bytes }: Holding): void {
    for (const listener of this.listeners) listener(kind, owner, bytes);
  }
}

/** What is held for one request or connection. */
export class Holding implements HoldingState {
  readonly heldSince: number;
  private readonly budget: MemoryBudget;
  private readonly options: HoldingOptions;
  private currentKind: HoldingKind;
  private currentOwner: string;
  private held = 0;
  private heldAtProgress = 0;
  private latestProgressAt: number;
  private isReleased = false;

  constructor(budget: MemoryBudget, options: HoldingOptions) {
    this.budget = budget;
    this.options = options;
    this.currentKind = options.kind;
    this.currentOwner = options.owner;
    this.heldSince = budget.clock.monotonic();
    this.latestProgressAt = this.heldSince;
  }

  get kind(): HoldingKind {
    return this.currentKind;
  }

  get owner(): string {
    return this.currentOwner;
  }

  get bytes(): number {
    return this.held;
  }

  get progressAt(): number {
    return this.latestProgressAt;
  }

  /** Holds so many bytes from now on, in all. False if there is no room; then as many are held as before. */
  hold(bytes: number): boolean {
    return this.change(bytes, false);
  }

  /** Like `hold`, for what a caller was promised: the shares don't limit it, only the budget does. */
  holdPromised(bytes: number): boolean {
    return this.change(bytes, true);
  }

  /** Goes over to another kind; its workspace may be known by now. */
  become(kind: HoldingKind, owner = this.currentOwner): void {
    if (this.isReleased) return;
    const { held, budget } = this;
    budget.record(this, -held);
    this.currentKind = kind;
    this.currentOwner = owner;
    budget.record(this, held);
    this.latestProgressAt = budget.clock.monotonic();
    budget.track(this);
  }

  /** Holds nothing any more. */
  release(): void {
    if (this.isReleased) return;
    this.set(0);
    this.isReleased = true;
  }

  /** Ends what is held. For `MemoryBudget`. */
  yield(): void {
    this.release();
    this.options.onYield();
  }

  private change(bytes: number, isPromised: boolean): boolean {
    if (this.isReleased) return false;
    if (bytes > this.held && !this.budget.makeRoom(this, bytes, isPromised)) return false;
    this.set(bytes);
    return true;
  }

  private set(bytes: number): void {
    const { budget } = this;
    budget.record(this, bytes - this.held);
    this.held = bytes;
    budget.track(this);
    if (Math.abs(bytes - this.heldAtProgress) < PROGRESS_BYTES) return;
    this.heldAtProgress = bytes;
    this.latestProgressAt = budget.clock.monotonic();
  }
}
