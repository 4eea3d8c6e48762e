/**
 * Service as one sidecar knows it: its own account, which it alone writes, and what the other
 * endpoints gave, as the ledger shards last told. It keeps the fair order up to date.
 */
import { CostEstimator, FairShare, ServiceAccount } from '@poplarpick/decisions';
import type { AccountEntry, Adjustment, Charge, ServiceTotals } from '@poplarpick/decisions';

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
  readonly fairShare: FairShare;
  listener: MeterListener | undefined;
  private readonly account: ServiceAccount;
  private readonly estimator = new CostEstimator();
  private readonly others = new Map<string, number>();
  private readonly reserved = new Map<string, number>();
  private largest = 0;

  constructor() {
    this.account = new ServiceAccount((workspace) => this.noteCharge(workspace));
    this.fairShare = new FairShare({
      onAdjust: ({ workspace }) => this.listener?.onAdjust(workspace),
    });
  }

  /** Largest expected cost, divided by weight, that any request was charged. */
  get largestCharge(): number {
    return this.largest;
  }

  /** Charges the expected cost of a request that starts. */
  open({ workspace, weight, costHint }: ChargeRequest): Charge {
    const expectedCost = this.estimator.expect(workspace, costHint);
    this.largest = Math.max(this.largest, expectedCost / weight);
    const charge = this.account.open({ workspace, weight, expectedCost });
    this.listener?.onTurn();
    return charge;
  }

  /** Ends the charge of a request. */
  close(charge: Charge): void {
    charge.close();
    this.listener?.onTurn();
  }

  /** Learns what a request cost that ended whole. */
  learn(workspace: string, cost: number, costHint?: number): void {
    this.estimator.learn(workspace, cost, costHint);
  }

  /** Charges a workspace, until `release`, for a request that is claimed for it. Returns the charge. */
  reserve(workspace: string, weight: number): number {
    const charge = this.estimator.expect(workspace) / weight;
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
    return [...workspaces].map((workspace) => this.account.read(workspace));
  }

  /** All workspaces that were ever charged here. */
  charged(): string[] {
    return this.account.workspaces();
  }

  /** Adjustments of these workspaces as they stand. */
  adjustments(workspaces: ReadonlySet<string>): Adjustment[] {
    return this.fairShare.adjustments().filter(({ workspace }) => workspaces.has(workspace));
  }

  /** Sets what the other endpoints gave. */
  setOthers({ workspaces, services }: ServiceTotals): void {
    workspaces.forEach((workspace, index) => {
      this.others.set(workspace, services[index] ?? 0);
      this.update(workspace);
    });
  }

  /** Takes in what other processes have adjusted. */
  adjust(adjustments: readonly Adjustment[]): void {
    for (const adjustment of adjustments) this.fairShare.adjust(adjustment);
  }

  private noteCharge(workspace: string): void {
    this.update(workspace);
    this.listener?.onCharge(workspace);
  }

  private update(workspace: string): void {
    const { service, pending } = this.account.read(workspace);
    const others = this.others.get(workspace) ?? 0;
    const reserved = this.reserved.get(workspace) ?? 0;
    this.fairShare.setService(workspace, service + pending + others + reserved);
  }
}
