/**
 * Service as one sidecar knows it: its own account, which it alone writes, and what the other
 * endpoints gave, as the ledger shards last told. It keeps the fair order up to date.
 */
import { CostEstimator, FairShareOrder, ServiceAccount } from '@poplarpick/decisions';
import type {
  AccountEntry,
  ServiceAdjustment,
  ServiceCharge,
  ServiceTotals,
} from '@poplarpick/decisions';

/** What changes of the meter are told to. */
export interface MeterListener {
  /** The own entry of the workspace has changed. */
  onCharge(workspace: string): void;
  /** A request has started or ended, on which the choices of others depend. */
  onTurn(): void;
  /** The workspace was lifted or forgiven here. */
  onAdjust(workspace: string): void;
}

/** A request to be charged. */
export interface ChargeRequest {
  workspace: string;
  weight: number;
  costHint?: number | undefined;
}

/** Meters the service of one endpoint and orders the workspaces by that of the fleet. */
export class ServiceMeter {
  readonly fairShare: FairShareOrder;
  listener: MeterListener | undefined;
  private readonly account: ServiceAccount;
  private readonly estimator = new CostEstimator();
  private readonly others = new Map<string, number>();
  private readonly reserved = new Map<string, number>();
  private largest = 0;

  constructor() {
    this.account = new ServiceAccount((workspace) => this.noteCharge(workspace));
    this.fairShare = new FairShareOrder({
      onAdjust: ({ workspace }) => this.listener?.onAdjust(workspace),
    });
  }

  /** Largest expected cost, divided by weight, that any request was charged. */
  get largestCharge(): number {
    return this.largest;
  }

  /** Charges the expected cost of a request that starts. */
  open({ workspace, weight, costHint }: ChargeRequest): ServiceCharge {
    const expectedCost = this.estimator.estimate(workspace, costHint);
    this.largest = Math.max(this.largest, expectedCost / weight);
    const charge = this.account.openCharge({ workspace, weight, expectedCost });
    this.listener?.onTurn();
    return charge;
  }

  /** Ends the charge of a request. */
  close(charge: ServiceCharge): void {
    charge.close();
    this.listener?.onTurn();
  }

  /** Learns what a request cost that ended whole. */
  learn(workspace: string, cost: number, costHint?: number): void {
    this.estimator.recordCost(workspace, cost, costHint);
  }

  /** Charges a workspace, until `release`, for a request that is claimed for it. Returns the charge. */
  reserve(workspace: string, weight: number): number {
    const charge = this.estimator.estimate(workspace) / weight;
    this.reserved.set(workspace, (this.reserved.get(workspace) ?? 0) + charge);
    this.update(workspace);
    return charge;
  }

  release(workspace: string, charge: number): void {
    const left = (this.reserved.get(workspace) ?? 0) - charge;
    if (left > 0) this.reserved.set(workspace, left);
    else this.reserved.delete(workspace);
    this.update(workspace);
  }

  /** Own entries of these workspaces, for a report. */
  entries(workspaces: Iterable<string>): AccountEntry[] {
    return [...workspaces].map((workspace) => this.account.getEntry(workspace));
  }

  /** All workspaces that were ever charged here. */
  charged(): string[] {
    return this.account.listWorkspaces();
  }

  /** Adjustments of these workspaces as they stand. */
  adjustments(workspaces: ReadonlySet<string>): ServiceAdjustment[] {
    return this.fairShare.listAdjustments().filter(({ workspace }) => workspaces.has(workspace));
  }

  /** Sets what the other endpoints gave. */
  setOthers({ workspaces, services }: ServiceTotals): void {
    workspaces.forEach((workspace, index) => {
      this.others.set(workspace, services[index] ?? 0);
      this.update(workspace);
    });
  }

  /** Takes in what other processes have adjusted. */
  adjust(adjustments: readonly ServiceAdjustment[]): void {
    for (const adjustment of adjustments) this.fairShare.mergeAdjustment(adjustment);
  }

  private noteCharge(workspace: string): void {
    this.update(workspace);
    this.listener?.onCharge(workspace);
  }

  private update(workspace: string): void {
    const { service, pending } = this.account.getEntry(workspace);
    const others = this.others.get(workspace) ?? 0;
    const reserved = this.reserved.get(workspace) ?? 0;
    this.fairShare.setService(workspace, service + pending + others + reserved);
  }
}
