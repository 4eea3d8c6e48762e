/**
 * Fair choice by weighted virtual service: the waiting workspace that has received the least service
 * for its weight goes first. A workspace that begins to wait is lifted to the least of those that wait
 * already, so that idle time earns no credit. One that is far ahead, which ordinary service cannot
 * explain, is forgiven the excess, so that it does not starve until the others have caught up.
 *
 * Lifts and forgiveness only grow and merge by maximum, so every process arrives at the same values.
 */
import { SortedTree } from './sorted-tree.ts';

/** What is added to and taken from the service of a workspace. */
export interface ServiceAdjustment {
  workspace: string;
  lift: number;
  forgiven: number;
}

/** Options of a `FairShare`. */
export interface FairShareOrderOptions {
  /** Most service that a workspace may be ahead of the least served one that waits. */
  maxServiceLead?: number;
  /** Called with each adjustment that is made here. */
  onAdjust?: (adjustment: ServiceAdjustment) => void;
}

interface Position {
  virtual: number;
  workspace: string;
}

interface Standing {
  service: number;
  lift: number;
  forgiven: number;
  /** Its key in the order while it waits. */
  position: Position | undefined;
}

/** Orders the waiting workspaces; each change costs the logarithm of their number. */
export class FairShareOrder {
  /** Most service that a workspace may be ahead of the least served one that waits. */
  maxServiceLead: number;
  private readonly onAdjust: (adjustment: ServiceAdjustment) => void;
  private readonly standings = new Map<string, Standing>();
  private readonly order = new SortedTree<Position, undefined>(undefined, comparePositions);
  private lastLeast: number | undefined;

  constructor(options: FairShareOrderOptions = {}) {
    this.maxServiceLead = options.maxServiceLead ?? Infinity;
    this.onAdjust = options.onAdjust ?? (() => undefined);
  }

  /** Sets the service of a workspace: cost divided by weight, provisional charges included. */
  setService(workspace: string, service: number): void {
    const standing = this.standing(workspace);
    if (standing.service === service) return;
    standing.service = service;
    this.reposition(workspace, standing);
  }

  /** Takes in an adjustment that another process has made. */
  mergeAdjustment({ workspace, lift, forgiven }: ServiceAdjustment): void {
    const standing = this.standing(workspace);
    if (lift <= standing.lift && forgiven <= standing.forgiven) return;
    standing.lift = Math.max(lift, standing.lift);
    standing.forgiven = Math.max(forgiven, standing.forgiven);
    this.reposition(workspace, standing);
  }

  /** Notes that a workspace begins to wait, and lifts it. */
  startWaiting(workspace: string): void {
    const standing = this.standing(workspace);
    if (standing.position !== undefined) return;
    const behind = (this.leastWaiting() ?? -Infinity) - virtualOf(standing);
    if (behind > 0) {
      standing.lift += behind;
      this.publish(workspace, standing);
    }
    this.insert(workspace, standing);
  }

  /** Notes that a workspace has waited already, as a process learns that has just joined. */
  restoreWaiting(workspace: string): void {
    const standing = this.standing(workspace);
    if (standing.position === undefined) this.insert(workspace, standing);
  }

  /** Notes that a workspace waits no more. */
  stopWaiting(workspace: string): void {
    const standing = this.standing(workspace);
    if (standing.position === undefined) return;
    this.lastLeast = this.leastWaiting();
    this.order.delete(standing.position);
    standing.position = undefined;
  }

  /** Waiting workspaces, the least served first. */
  *rankWaiting(): Generator<string> {
    for (const position of this.order.keys()) yield position.workspace;
  }

  /** Forgives what any waiting workspace is ahead over the limit. */
  forgiveExcessService(): void {
    const least = this.leastWaiting();
    if (least === undefined) return;
    const limit = least + this.maxServiceLead;
    for (let most = this.order.maxKey(); most !== undefined && most.virtual > limit;) {
      const standing = this.standing(most.workspace);
      standing.forgiven += most.virtual - limit;
      this.publish(most.workspace, standing);
      this.reposition(most.workspace, standing);
      const next = this.order.maxKey();
      // Rounding can leave the largest a trifle over the limit.
      if (next === undefined || next.virtual >= most.virtual) return;
      most = next;
    }
  }

  /** Virtual service of a workspace: what the order goes by. */
  virtualService(workspace: string): number {
    return virtualOf(this.standing(workspace));
  }

  /** All adjustments that differ from nothing. */
  listAdjustments(): ServiceAdjustment[] {
    return [...this.standings]
      .filter(([, { lift, forgiven }]) => lift > 0 || forgiven > 0)
      .map(([workspace, { lift, forgiven }]) => ({ workspace, lift, forgiven }));
  }

  private leastWaiting(): number | undefined {
    return this.order.minKey()?.virtual ?? this.lastLeast;
  }

  private publish(workspace: string, { lift, forgiven }: Standing): void {
    this.onAdjust({ workspace, lift, forgiven });
  }

  private standing(workspace: string): Standing {
    const known = this.standings.get(workspace);
    if (known !== undefined) return known;
    const made = { service: 0, lift: 0, forgiven: 0, position: undefined };
    this.standings.set(workspace, made);
    return made;
  }

  private reposition(workspace: string, standing: Standing): void {
    if (standing.position === undefined) return;
    this.order.delete(standing.position);
    this.insert(workspace, standing);
  }

  private insert(workspace: string, standing: Standing): void {
    standing.position = { virtual: virtualOf(standing), workspace };
    this.order.set(standing.position, undefined);
  }
}

function virtualOf({ service, lift, forgiven }: Standing): number {
  return service + lift - forgiven;
}

function comparePositions(a: Position, b: Position): number {
  if (a.virtual !== b.virtual) return a.virtual - b.virtual;
  if (a.workspace === b.workspace) return 0;
  return a.workspace < b.workspace ? -1 : 1;
}
