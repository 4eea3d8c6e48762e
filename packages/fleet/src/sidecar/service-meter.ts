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
export interface ServiceMeterListener {
  /** The own entry of the workspace has changed. */
  onEntryChange(workspace: string): void;
  /** A request has started or ended, on which the choices of others depend. */
  onStartOrEnd(): void;
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
  listener: ServiceMeterListener | undefined;
  private readonly account: ServiceAccount;
  private readonly estimator = new CostEstimator();
  private readonly otherService = new Map<string, number>();
  private readonly reservedCharges = new Map<string, number>();
  private largestCharge = 0;

  constructor() {
    this.account = new ServiceAccount((workspace) => this.handleEntryChange(workspace));
    this.fairShare = new FairShareOrder({
      onAdjust: ({ workspace }) => this.listener?.onAdjust(workspace),
    });
  }

  /** Largest expected cost, divided by weight, that any request was charged. */
  get maxCharge(): number {
    return this.largestCharge;
  }

  /** Charges the expected cost of a request that starts. */
  openCharge({ workspace, weight, costHint }: ChargeRequest): ServiceCharge {
    const expectedCost = this.estimator.estimate(workspace, costHint);
    this.largestCharge = Math.max(this.largestCharge, expectedCost / weight);
    const charge = this.account.openCharge({ workspace, weight, expectedCost });
    this.listener?.onStartOrEnd();
    return charge;
  }

  /** Ends the charge of a request. */
  closeCharge(charge: ServiceCharge): void {
    charge.close();
    this.listener?.onStartOrEnd();
  }

  /** Learns what a request cost that ended whole. */
  recordCost(workspace: string, cost: number, costHint?: number): void {
    this.estimator.recordCost(workspace, cost, costHint);
  }

  /** Charges a workspace, until `release`, for a request that is claimed for it. Returns the charge. */
  reserve(workspace: string, weight: number): number {
    const charge = this.estimator.estimate(workspace) / weight;
    this.reservedCharges.set(workspace, (this.reservedCharges.get(workspace) ?? 0) + charge);
    this.updateOrder(workspace);
    return charge;
  }

  release(workspace: string, charge: number): void {
    const left = (this.reservedCharges.get(workspace) ?? 0) - charge;
    if (left > 0) this.reservedCharges.set(workspace, left);
    else this.reservedCharges.delete(workspace);
    this.updateOrder(workspace);
  }

  /** Own entries of these workspaces, for a report. */
  getEntries(workspaces: Iterable<string>): AccountEntry[] {
    return [...workspaces].map((workspace) => this.account.getEntry(workspace));
  }

  /** All workspaces that were ever charged here. */
  listChargedWorkspaces(): string[] {
    return this.account.listWorkspaces();
  }

  /** Adjustments of these workspaces as they stand. */
  getAdjustments(workspaces: ReadonlySet<string>): ServiceAdjustment[] {
    return this.fairShare.listAdjustments().filter(({ workspace }) => workspaces.has(workspace));
  }

  /** Sets what the other endpoints gave. */
  setOtherService({ workspaces, services }: ServiceTotals): void {
    workspaces.forEach((workspace, index) => {
      this.otherService.set(workspace, services[index] ?? 0);
      this.updateOrder(workspace);
    });
  }

  /** Takes in what other processes have adjusted. */
  mergeAdjustments(adjustments: readonly ServiceAdjustment[]): void {
    for (const adjustment of adjustments) this.fairShare.mergeAdjustment(adjustment);
  }

  private handleEntryChange(workspace: string): void {
    this.updateOrder(workspace);
    this.listener?.onEntryChange(workspace);
  }

  private updateOrder(workspace: string): void {
    const { service, pending } = this.account.getEntry(workspace);
    const otherService = this.otherService.get(workspace) ?? 0;
    const reserved = this.reservedCharges.get(workspace) ?? 0;
    this.fairShare.setService(workspace, service + pending + otherService + reserved);
  }
}
