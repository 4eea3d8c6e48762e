/**
 * Weighted fair queueing by virtual service: the waiting workspace with the least service divided by
 * weight goes first. A workspace that starts waiting is lifted to the minimum of the workspaces that
 * already wait, so idle time earns no credit. A workspace that is further ahead than ordinary service
 * can explain is forgiven the excess, so it does not starve until the others have caught up.
 *
 * Lifts and forgiven amounts only grow and are merged by maximum, so all processes converge to the
 * same values.
 */
import { SortedTree } from './sorted-tree.ts';

/** Correction of a workspace's service: `lift` is added to it and `forgiven` subtracted from it. */
export interface ServiceAdjustment {
  workspace: string;
  lift: number;
  forgiven: number;
}

/** Options of a `FairShareOrder`. */
export interface FairShareOrderOptions {
  /** Largest lead in virtual service over the least served waiting workspace; unlimited by default. */
  maxServiceLead?: number;
  /** Called with each adjustment made by this process. */
  onAdjust?: (adjustment: ServiceAdjustment) => void;
}

interface OrderKey {
  virtualService: number;
  workspace: string;
}

interface WorkspaceRecord {
  service: number;
  lift: number;
  forgiven: number;
  /** Key in the order of waiting workspaces; undefined while the workspace does not wait. */
  orderKey: OrderKey | undefined;
}

/** Orders the waiting workspaces by virtual service; a change takes O(log n) time. */
export class FairShareOrder {
  /** Largest lead in virtual service over the least served waiting workspace. */
  maxServiceLead: number;
  private readonly onAdjust: (adjustment: ServiceAdjustment) => void;
  private readonly records = new Map<string, WorkspaceRecord>();
  private readonly waitingOrder = new SortedTree<OrderKey, undefined>(undefined, compareOrderKeys);
  /** Minimum just before a workspace last stopped waiting; applies while none waits. */
  private lastMinWaitingService: number | undefined;

  constructor(options: FairShareOrderOptions = {}) {
    this.maxServiceLead = options.maxServiceLead ?? Infinity;
    this.onAdjust = options.onAdjust ?? (() => undefined);
  }

  /** Sets the service of a workspace: cost divided by weight, including provisional charges. */
  setService(workspace: string, service: number): void {
    const record = this.getOrCreateRecord(workspace);
    if (record.service === service) return;
    record.service = service;
    this.updateOrder(workspace, record);
  }

  /** Merges an adjustment made by another process. */
  mergeAdjustment({ workspace, lift, forgiven }: ServiceAdjustment): void {
    const record = this.getOrCreateRecord(workspace);
    if (lift <= record.lift && forgiven <= record.forgiven) return;
    record.lift = Math.max(lift, record.lift);
    record.forgiven = Math.max(forgiven, record.forgiven);
    this.updateOrder(workspace, record);
  }

  /** Adds a workspace that starts waiting, lifted to the minimum of those that already wait. */
  startWaiting(workspace: string): void {
    const record = this.getOrCreateRecord(workspace);
    if (record.orderKey !== undefined) return;
    const deficit = (this.minWaitingService() ?? -Infinity) - computeVirtualService(record);
    if (deficit > 0) {
      record.lift += deficit;
      this.notifyAdjustment(workspace, record);
    }
    this.insertIntoOrder(workspace, record);
  }

  /** Adds a workspace without a lift, when it was already waiting before this process learned of it. */
  restoreWaiting(workspace: string): void {
    const record = this.getOrCreateRecord(workspace);
    if (record.orderKey === undefined) this.insertIntoOrder(workspace, record);
  }

  /** Removes a workspace that no longer waits. */
  stopWaiting(workspace: string): void {
    const record = this.getOrCreateRecord(workspace);
    if (record.orderKey === undefined) return;
    this.lastMinWaitingService = this.minWaitingService();
    this.waitingOrder.delete(record.orderKey);
    record.orderKey = undefined;
  }

  /** Yields the waiting workspaces, the least served first. */
  *rankWaiting(): Generator<string> {
    for (const orderKey of this.waitingOrder.keys()) yield orderKey.workspace;
  }

  /** Forgives each waiting workspace the part of its lead that exceeds `maxServiceLead`. */
  forgiveExcessService(): void {
    const minService = this.minWaitingService();
    if (minService === undefined) return;
    const limit = minService + this.maxServiceLead;
    for (
      let highest = this.waitingOrder.maxKey();
      highest !== undefined && highest.virtualService > limit;
    ) {
      const record = this.getOrCreateRecord(highest.workspace);
      record.forgiven += highest.virtualService - limit;
      this.notifyAdjustment(highest.workspace, record);
      this.updateOrder(highest.workspace, record);
      const next = this.waitingOrder.maxKey();
      // Rounding can leave the largest value slightly above the limit.
      if (next === undefined || next.virtualService >= highest.virtualService) return;
      highest = next;
    }
  }

  /** Returns the virtual service by which a workspace is ordered. */
  virtualService(workspace: string): number {
    return computeVirtualService(this.getOrCreateRecord(workspace));
  }

  /** Returns all nonzero adjustments. */
  listAdjustments(): ServiceAdjustment[] {
    return [...this.records]
      .filter(([, { lift, forgiven }]) => lift > 0 || forgiven > 0)
      .map(([workspace, { lift, forgiven }]) => ({ workspace, lift, forgiven }));
  }

  private minWaitingService(): number | undefined {
    return this.waitingOrder.minKey()?.virtualService ?? this.lastMinWaitingService;
  }

  private notifyAdjustment(workspace: string, { lift, forgiven }: WorkspaceRecord): void {
    this.onAdjust({ workspace, lift, forgiven });
  }

  private getOrCreateRecord(workspace: string): WorkspaceRecord {
    const existing = this.records.get(workspace);
    if (existing !== undefined) return existing;
    const created = { service: 0, lift: 0, forgiven: 0, orderKey: undefined };
    this.records.set(workspace, created);
    return created;
  }

  private updateOrder(workspace: string, record: WorkspaceRecord): void {
    if (record.orderKey === undefined) return;
    this.waitingOrder.delete(record.orderKey);
    this.insertIntoOrder(workspace, record);
  }

  private insertIntoOrder(workspace: string, record: WorkspaceRecord): void {
    record.orderKey = { virtualService: computeVirtualService(record), workspace };
    this.waitingOrder.set(record.orderKey, undefined);
  }
}

function computeVirtualService({ service, lift, forgiven }: WorkspaceRecord): number {
  return service + lift - forgiven;
}

function compareOrderKeys(a: OrderKey, b: OrderKey): number {
  if (a.virtualService !== b.virtualService) return a.virtualService - b.virtualService;
  if (a.workspace === b.workspace) return 0;
  return a.workspace < b.workspace ? -1 : 1;
}
