/**
 * The fair shares of workspaces at one router: what they demand and get here, and how much of their shares over all
 * routers that is. The capacity that is shared is that of the endpoints that take requests now.
 */
import {
  fairShareCost,
  FairShareLedger,
  fingerprintRequest,
  RefusedRequests,
} from '@poplarpick/decisions';
import type {
  Prompt,
  RequestFingerprint,
  RouteIndex,
  ShareUsage,
  WorkspaceUsage,
} from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';
import type { EndpointDirectory, EndpointRecord } from './endpoints/endpoint-directory.ts';

const MS_PER_SECOND = 1_000;

const NO_USAGE: ShareUsage = { shareUsed: 0, surplusUsed: 0 };

/** Options of `WorkspaceShares`. */
export interface WorkspaceSharesOptions {
  clock: Clock;
  /** Length of the sliding window of the shares, in ms. */
  windowMs: number;
  endpoints: Pick<EndpointDirectory, 'all'>;
  /** The current routes; undefined until they are known. */
  routes: () => RouteIndex | undefined;
  /** Usage of workspaces that the other routers report. */
  readPeerUsage: (now: number) => Iterable<WorkspaceUsage>;
  /** Whether an endpoint is evacuated or cold. */
  isHeldBack: (record: EndpointRecord) => boolean;
  /** Called with each refused request, so that peers recognize its retry. */
  onRefused: (fingerprint: RequestFingerprint) => void;
}

/** Measures the shares. */
export class WorkspaceShares {
  readonly ledger: FairShareLedger;
  readonly refusedRequests = new RefusedRequests();
  private readonly options: WorkspaceSharesOptions;

  constructor(options: WorkspaceSharesOptions) {
    this.options = options;
    this.ledger = new FairShareLedger(options.windowMs);
  }

  /**
   * Records the arrival of a request: its demand counts once, so not again when it is a caller's retry.
   * Returns whether it is one.
   */
  recordArrival(workspace: string, prompt: Prompt): boolean {
    const now = this.now();
    if (this.refusedRequests.takeRetry(fingerprintRequest(workspace, prompt), now)) return true;
    this.ledger.recordDemand(workspace, fairShareCost(prompt), now);
    return false;
  }

  /** Records that a request was refused, so that this router and its peers recognize its retry. */
  recordRefusal(workspace: string, prompt: Prompt): void {
    const fingerprint = fingerprintRequest(workspace, prompt);
    if (fingerprint === undefined) return;
    this.refusedRequests.record(fingerprint, this.now());
    this.options.onRefused(fingerprint);
  }

  /** Records the cost of a request that is sent to an endpoint. */
  recordGrant(workspace: string, prompt: Prompt, isOverShare: boolean): void {
    this.ledger.recordGrant(workspace, fairShareCost(prompt), isOverShare, this.now());
  }

  /** Usage of a workspace's fair shares in the window, over all routers. */
  measureUsage(workspace: string): ShareUsage {
    const { routes, readPeerUsage } = this.options;
    const now = this.now();
    const tokensPerSecond = routes()?.table.tokensPerSecond ?? 0;
    if (tokensPerSecond === 0) return NO_USAGE;
    return this.ledger.measureUsage({
      workspace,
      readPeerUsage: () => readPeerUsage(now),
      readTokensPerMs: () => (tokensPerSecond / MS_PER_SECOND) * this.availableFraction(),
      now,
    });
  }

  /**
   * Part of the slots of the model endpoints that aren't held back, see `isHeldBack`. Draining ones leave for good
   * and aren't part of the fleet any more.
   */
  private availableFraction(): number {
    const { endpoints, routes, isHeldBack } = this.options;
    let slots = 0;
    let availableSlots = 0;
    for (const record of endpoints.all()) {
      const { endpoint, availability } = record;
      if (availability.isDraining) continue;
      if (routes()?.findPool(endpoint.pool)?.batch === undefined) continue;
      slots += endpoint.slots;
      if (!isHeldBack(record)) availableSlots += endpoint.slots;
    }
    // Where no endpoint takes requests, no call is admitted and no share matters.
    return availableSlots === 0 ? 1 : availableSlots / slots;
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}
