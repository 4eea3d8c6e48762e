/**
 * The service that one endpoint gives, by workspace. A request is charged its expected cost when it
 * starts; what it produces takes the place of that provisional charge, exceeds it where the
 * expectation was too low, and is all that remains at the end. Costs are divided by the weight that
 * holds when the request starts, so a change of weights leaves past service as it is.
 */

/** Service of one workspace. */
export interface AccountEntry {
  workspace: string;
  /** Cost of what was produced, divided by weight; never falls. */
  service: number;
  /** Provisional charges of what runs, beyond what it has produced, divided by weight. */
  pending: number;
}

/** Options of a `Charge`. */
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
  private expectedLeft: number;

  constructor(account: ServiceAccount, options: ServiceChargeOptions) {
    this.account = account;
    this.workspace = options.workspace;
    this.weight = options.weight;
    this.expectedLeft = options.expectedCost;
    account.applyChange(this.workspace, 0, this.expectedLeft / this.weight);
  }

  /** Adds cost that was produced. */
  recordCost(cost: number): void {
    const covered = Math.min(cost, this.expectedLeft);
    this.expectedLeft -= covered;
    this.account.applyChange(this.workspace, cost / this.weight, -covered / this.weight);
  }

  /** Ends the request: nothing provisional is left of it. */
  close(): void {
    this.account.applyChange(this.workspace, 0, -this.expectedLeft / this.weight);
    this.expectedLeft = 0;
  }
}

/** Below this a provisional charge is a rounding error. */
const LEAST_PENDING = 1e-9;

/** The row that one endpoint's sidecar writes. */
export class ServiceAccount {
  private readonly entries = new Map<string, AccountEntry>();
  private readonly onChange: (workspace: string) => void;

  constructor(onChange: (workspace: string) => void = () => undefined) {
    this.onChange = onChange;
  }

  /** Starts the charge of a request. */
  openCharge(options: ServiceChargeOptions): ServiceCharge {
    return new ServiceCharge(this, options);
  }

  /** Changes an entry; charges call it. */
  applyChange(workspace: string, service: number, pending: number): void {
    const entry = this.getEntry(workspace);
    const left = entry.pending + pending;
    this.entries.set(workspace, {
      workspace,
      service: entry.service + service,
      pending: left < LEAST_PENDING ? 0 : left,
    });
    // A produced token that was expected moves from one part to the other and changes no choice.
    if (service + pending !== 0) this.onChange(workspace);
  }

  getEntry(workspace: string): AccountEntry {
    return this.entries.get(workspace) ?? { workspace, service: 0, pending: 0 };
  }

  /** Names of all workspaces that were ever charged. */
  listWorkspaces(): string[] {
    return [...this.entries.keys()];
  }
}
