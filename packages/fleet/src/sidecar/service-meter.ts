/**
 * Meters the service that each workspace has received, as known to one sidecar: its own account, which
 * only it writes, plus the service by the other endpoints as last received from the ledger shards. It
 * updates the fair-share order with the sum.
 */
import { CostEstimator, FairShareOrder, ServiceAccount } from '@poplarpick/decisions';
import type {
  AccountEntry,
  ServiceAdjustment,
  ServiceCharge,
  ServiceTotals,
} from '@poplarpick/decisions';

/** Receives the changes of a meter. */
export interface ServiceMeterListener {
  /** The entry of the workspace in the own account has changed. */
  onEntryChange(workspace: string): void;
  /** A request has started or ended, which affects the choices of other sidecars. */
  onStartOrEnd(): void;
  /** This process has adjusted (lifted or forgiven) the service of the workspace. */
  onAdjust(workspace: string): void;
}

/** A request to be charged. */
export interface ChargeRequest {
  workspace: string;
  weight: number;
  costHint?: number | undefined;
}

/** Meters the service of one endpoint, and orders the workspaces by their service in the fleet. */
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

  /** Largest initial charge of any request: its expected cost divided by the weight. */
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

  /** Closes the charge of a request that has ended. */
  closeCharge(charge: ServiceCharge): void {
    charge.close();
    this.listener?.onStartOrEnd();
  }

  /** Records the actual cost of a completed request, for later estimates. */
  recordCost(workspace: string, cost: number, costHint?: number): void {
    this.estimator.recordCost(workspace, cost, costHint);
  }

  /** Reserves the expected charge of a claimed request until `release`. Returns the charge. */
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

  /** Entries of these workspaces in the own account. */
  getEntries(workspaces: Iterable<string>): AccountEntry[] {
    return [...workspaces].map((workspace) => this.account.getEntry(workspace));
  }

  /** All workspaces that have been charged by this endpoint. */
  listChargedWorkspaces(): string[] {
    return this.account.listWorkspaces();
  }

  /** Current adjustments of these workspaces. */
  getAdjustments(workspaces: ReadonlySet<string>): ServiceAdjustment[] {
    return this.fairShare.listAdjustments().filter(({ workspace }) => workspaces.has(workspace));
  }

  /** Sets the service by the other endpoints. */
  setOtherService({ workspaces, services }: ServiceTotals): void {
    workspaces.forEach((workspace, index) => {
      this.otherService.set(workspace, services[index] ?? 0);
      this.updateOrder(workspace);
    });
  }

  /** Merges adjustments by other processes. */
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
