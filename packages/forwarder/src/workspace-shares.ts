/**
 * The fair shares of workspaces at one router: what they demand and get here, and how much of their shares over all
 * routers that is. The capacity that is shared is that of the endpoints that take requests now.
 */
import {
  fairShareCost,
  FairShareLedger,
  fingerprintRequest,
  IdleCapacity,
  RefusedRequests,
  sumServices,
} from '@poplarpick/decisions';
import type {
  Prompt,
  RequestFingerprint,
  RouteIndex,
  ShareSums,
  ShareUsage,
  WorkspaceUsage,
} from '@poplarpick/decisions';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { EndpointDirectory, EndpointRecord } from './endpoints/endpoint-directory.ts';
import { ShareContentionLog } from './share-contention-log.ts';

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
  /** How far requests within their share are refused or late at the model endpoints, in 0..1. */
  readContention: () => number;
  /** Whether an endpoint is evacuated or cold. */
  isHeldBack: (record: EndpointRecord) => boolean;
  /** Whether an endpoint could take more than it gets. */
  isIdle: (record: EndpointRecord) => boolean;
  log: Logger;
  /** Age of the oldest usage that the other routers report, in ms. */
  readUsageAgeMs: (now: number) => number;
  /** Fraction of time in which this router's event loop has work. */
  readLoopUtilization: () => number;
  /** Called with each refused request, so that peers recognize its retry. */
  onRefused: (fingerprint: RequestFingerprint) => void;
}

/** Measures the shares. */
export class WorkspaceShares {
  readonly ledger: FairShareLedger;
  readonly refusedRequests = new RefusedRequests();
  private readonly options: WorkspaceSharesOptions;
  private readonly contentionLog: ShareContentionLog;
  private readonly idleCapacity = new IdleCapacity();

  constructor(options: WorkspaceSharesOptions) {
    this.options = options;
    this.ledger = new FairShareLedger(options.windowMs);
    this.contentionLog = new ShareContentionLog({
      log: options.log,
      listServices: () => this.ledger.listServices(),
      readState: () => ({
        nominalTokens: this.nominalTokensPerMs() * options.windowMs,
        usageAgeMs: options.readUsageAgeMs(this.now()),
        usedFraction: this.idleCapacity.usedFraction,
        loopUtilization: options.readLoopUtilization(),
      }),
    });
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
    this.contentionLog.recordRefusal(this.now());
    const fingerprint = fingerprintRequest(workspace, prompt);
    if (fingerprint === undefined) return;
    this.refusedRequests.record(fingerprint, this.now());
    this.options.onRefused(fingerprint);
  }

  /** Records the cost of a request that is sent to an endpoint. */
  recordGrant(workspace: string, prompt: Prompt, isOverShare: boolean): void {
    this.ledger.recordGrant(workspace, fairShareCost(prompt), isOverShare, this.now());
  }

  /** Takes back the grant of a request that no endpoint has run: its workspace got nothing for it. */
  returnGrant(workspace: string, prompt: Prompt, isOverShare: boolean): void {
    this.ledger.returnGrant(workspace, fairShareCost(prompt), isOverShare, this.now());
  }

  /** Usage of a workspace's fair shares in the window, over all routers. */
  measureUsage(workspace: string): ShareUsage {
    const { routes, readPeerUsage, readContention } = this.options;
    const now = this.now();
    if ((routes()?.table.tokensPerSecond ?? 0) === 0) return NO_USAGE;
    return this.ledger.measureUsage({
      workspace,
      readPeerUsage: () => readPeerUsage(now),
      readTokensPerMs: () => this.nominalTokensPerMs(),
      readContention,
      readUsedFraction: () => this.measureUsedFraction(now),
      now,
    });
  }

  /** What the latest measurement of a workspace was based on, and how old the usage of other routers was. */
  describeSums(workspace: string): (ShareSums & { usageAgeMs: number }) | undefined {
    const sums = this.ledger.describeSums(workspace);
    return sums && { ...sums, usageAgeMs: this.options.readUsageAgeMs(this.now()) };
  }

  /** Tokens that all workspaces demanded and were granted, as of the latest measurement. */
  sumTokens(): Record<'demanded' | 'granted', number> {
    return sumServices(this.ledger.listServices());
  }

  /** What the endpoints that take requests now are expected to produce. */
  private nominalTokensPerMs(): number {
    const tokensPerSecond = this.options.routes()?.table.tokensPerSecond ?? 0;
    return (tokensPerSecond / MS_PER_SECOND) * this.availableFraction();
  }

  /**
   * Part of the slots of the model endpoints that aren't held back, see `isHeldBack`. Draining ones leave for good
   * and aren't part of the fleet any more.
   */
  private availableFraction(): number {
    let slots = 0;
    let availableSlots = 0;
    for (const record of this.listModelEndpoints()) {
      slots += record.endpoint.slots;
      if (!this.options.isHeldBack(record)) availableSlots += record.endpoint.slots;
    }
    // Where no endpoint takes requests, no call is admitted and no share matters.
    return availableSlots === 0 ? 1 : availableSlots / slots;
  }

  /** Part of the model endpoints that is in use, over the last moment. */
  private measureUsedFraction(now: number): number {
    let idle = 0;
    let total = 0;
    for (const record of this.listModelEndpoints()) {
      if (!record.availability.takesRequests(now) || this.options.isHeldBack(record)) continue;
      total += 1;
      if (this.options.isIdle(record)) idle += 1;
    }
    this.idleCapacity.record(idle, total, now);
    return this.idleCapacity.usedFraction;
  }

  private *listModelEndpoints(): Iterable<EndpointRecord> {
    const { endpoints, routes } = this.options;
    for (const record of endpoints.all()) {
      if (record.availability.isDraining) continue;
      if (routes()?.findPool(record.endpoint.pool)?.batch !== undefined) yield record;
    }
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}
