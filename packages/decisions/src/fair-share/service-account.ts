/**
 * Accounts for the service that one endpoint gives to each workspace. A request is charged its
 * expected cost provisionally when it starts. Actual cost replaces the provisional charge as output is
 * produced, may exceed it, and is all that remains when the request ends. Costs are divided by the
 * weight in force when the request starts, so a change of weights does not alter past service.
 */

/** Service of one workspace. */
export interface AccountEntry {
  workspace: string;
  /** Actual cost divided by weight; never decreases. */
  service: number;
  /** Expected cost of running requests that is not yet covered by actual cost, divided by weight. */
  pending: number;
}

/** Options of a `ServiceCharge`. */
export interface ServiceChargeOptions {
  workspace: string;
  weight: number;
  expectedCost: number;
}

/** The charge of one running request. */
export class ServiceCharge {
  readonly workspace: string;
  private readonly weight: number;
  private readonly account: ServiceAccount;
  private remainingExpectedCost: number;

  constructor(account: ServiceAccount, options: ServiceChargeOptions) {
    this.account = account;
    this.workspace = options.workspace;
    this.weight = options.weight;
    this.remainingExpectedCost = options.expectedCost;
    account.applyChange(this.workspace, 0, this.remainingExpectedCost / this.weight);
  }

  /** Records actual cost, which replaces as much of the provisional charge. */
  recordCost(cost: number): void {
    const coveredCost = Math.min(cost, this.remainingExpectedCost);
    this.remainingExpectedCost -= coveredCost;
    this.account.applyChange(this.workspace, cost / this.weight, -coveredCost / this.weight);
  }

  /** Removes the rest of the provisional charge when the request ends. */
  close(): void {
    this.account.applyChange(this.workspace, 0, -this.remainingExpectedCost / this.weight);
    this.remainingExpectedCost = 0;
  }
}

/** A smaller provisional charge is treated as a rounding error. */
const MIN_PENDING = 1e-9;

/** Service given by one endpoint, written by its sidecar alone. */
export class ServiceAccount {
  private readonly entries = new Map<string, AccountEntry>();
  private readonly onChange: (workspace: string) => void;

  constructor(onChange: (workspace: string) => void = () => undefined) {
    this.onChange = onChange;
  }

  /** Opens the charge of a request that starts. */
  openCharge(options: ServiceChargeOptions): ServiceCharge {
    return new ServiceCharge(this, options);
  }

  /** Adds to the service and the provisional charges of a workspace; called by `ServiceCharge`. */
  applyChange(workspace: string, service: number, pending: number): void {
    const entry = this.getEntry(workspace);
    const updatedPending = entry.pending + pending;
    this.entries.set(workspace, {
      workspace,
      service: entry.service + service,
      pending: updatedPending < MIN_PENDING ? 0 : updatedPending,
    });
    // Cost that was expected moves from `pending` to `service`; the sum and thus the order stay the same.
    if (service + pending !== 0) this.onChange(workspace);
  }

  getEntry(workspace: string): AccountEntry {
    return this.entries.get(workspace) ?? { workspace, service: 0, pending: 0 };
  }

  /** Returns the names of all workspaces that were ever charged. */
  listWorkspaces(): string[] {
    return [...this.entries.keys()];
  }
}
