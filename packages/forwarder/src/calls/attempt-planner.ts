/**
 * Selects the endpoints for the attempts of one call. A further attempt needs an endpoint that has not failed
 * the call, an API key that still belongs to the workspace, and a retry from the budget that all routers share.
 */
import type { Endpoint, Route, SuspectHash } from '@poplarpick/decisions';
import type { EndpointRecord } from '../endpoints/endpoint-directory.ts';
import type { RouterState } from '../router-state.ts';
import type { CallHead } from './call-protocol.ts';
import type { CallPlacer } from './call-placer.ts';
import { EndpointObstacle } from './endpoint-evaluator.ts';
import type { Placement } from './endpoint-evaluator.ts';
import type { StreamBinding } from './stream-binding.ts';

/** Most attempts of a call that may fail before they reach an endpoint; those don't count as sent. */
const MAX_UNSENT_ATTEMPTS = 3;

/** Why a call gets no further attempt. */
export enum RetryObstacle {
  Unreachable = 'unreachable',
  Key = 'key',
  NoEndpoint = 'no-endpoint',
  Budget = 'budget',
  /** The request or a segment of its prompt is blocked, or has not survived its latest crash. */
  Poison = 'poison',
  /** What is left of a planned stop of this router can't hold it. */
  Stop = 'stop',
}

/** Options of an `AttemptPlanner`. */
export interface AttemptPlannerOptions {
  state: RouterState;
  placer: CallPlacer;
  head: CallHead;
  route: Route;
  pool: string;
  workspace: string | undefined;
  body: Buffer | undefined;
  binding: StreamBinding;
  /** Hashes of what may crash an endpoint: the request as a whole, and the shared segments of its prompt. */
  suspectHashes: readonly SuspectHash[];
  /** Whether the API key still belongs to the workspace. */
  isKeyValid: () => boolean;
  /** Whether what is left of a planned stop of this router can hold another attempt. */
  fitsStop: () => boolean;
}

/** Which endpoints are considered. */
export interface EndpointSelection {
  /** An incarnation that isn't. */
  other?: string | undefined;
  /** Longest wait there, in ms; by default any. */
  maxWaitMs?: number | undefined;
}

/** Selects the endpoints of one call. */
export class AttemptPlanner {
  private readonly options: AttemptPlannerOptions;
  private readonly excluded = new Set<string>();
  private latestObstacle: RetryObstacle | undefined;
  private unsent = 0;

  constructor(options: AttemptPlannerOptions) {
    this.options = options;
  }

  /** Why the latest further attempt was not granted; undefined if it was, or if none was requested. */
  get obstacle(): RetryObstacle | undefined {
    return this.latestObstacle;
  }

  /** Attempts that failed before they reached an endpoint. */
  get unsentAttempts(): number {
    return this.unsent;
  }

  recordUnsent(): void {
    this.unsent += 1;
  }

  /** Excludes an endpoint from all further attempts. */
  exclude(record: EndpointRecord): void {
    this.excluded.add(record.incarnation);
  }

  /** Selects a second endpoint beside the one at which the call runs; undefined if the call may not run twice. */
  selectHedge(running: EndpointRecord): Placement | undefined {
    const { state, isKeyValid, fitsStop, suspectHashes } = this.options;
    if (!isKeyValid() || !fitsStop() || state.poison.mayBePoison(suspectHashes)) return undefined;
    return this.selectEndpoint({ other: running.incarnation });
  }

  /** Selects the best endpoint apart from the incarnation `other`; undefined if none is available. */
  selectEndpoint({ other, maxWaitMs }: EndpointSelection = {}): Placement | undefined {
    const { route, pool, head, placer, body } = this.options;
    const excluded = other === undefined ? this.excluded : new Set([...this.excluded, other]);
    const bodyBytes = body?.length ?? 0;
    const allows = (endpoint: Endpoint): boolean => this.allows(endpoint);
    return placer.place({
      route,
      pool,
      prompt: head.prompt,
      bodyBytes,
      excluded,
      allows,
      maxWaitMs,
    });
  }

  /**
   * Why an attempt that has waited since it was granted may not be sent any more; undefined if it may. What it was
   * counted against, such as the retry budget and the limit of its endpoint, has room for it all the same.
   */
  findSendObstacle(
    { record }: Placement,
    isFurther: boolean,
  ): RetryObstacle | EndpointObstacle | undefined {
    const { state, isKeyValid, fitsStop, suspectHashes, placer } = this.options;
    const { endpoint } = record;
    if (!isKeyValid()) return RetryObstacle.Key;
    if (isFurther && !fitsStop()) return RetryObstacle.Stop;
    // A first attempt may be the one for which others with its prompt are held back.
    if (isFurther && state.poison.findBlocked(suspectHashes) !== undefined)
      return RetryObstacle.Poison;
    if (state.endpoints.find(endpoint.id) !== record) return EndpointObstacle.Gone;
    if (!this.allows(endpoint)) return EndpointObstacle.NotAllowed;
    return placer.evaluator.findClosure(record);
  }

  /** Selects an endpoint for a further attempt and takes a retry from the budget; undefined if not granted. */
  acquireRetry(): Placement | undefined {
    const result = this.tryAcquire();
    const isObstacle = typeof result === 'string';
    this.latestObstacle = isObstacle ? result : undefined;
    return isObstacle ? undefined : result;
  }

  private allows(endpoint: Endpoint): boolean {
    const { state, route, workspace, binding } = this.options;
    return binding.allows(endpoint) && state.allowsRegion(endpoint, route, workspace);
  }

  private tryAcquire(): Placement | RetryObstacle {
    const { state, pool, isKeyValid, fitsStop, suspectHashes } = this.options;
    if (this.unsent > MAX_UNSENT_ATTEMPTS) return RetryObstacle.Unreachable;
    if (!isKeyValid()) return RetryObstacle.Key;
    if (!fitsStop()) return RetryObstacle.Stop;
    if (state.poison.mayBePoison(suspectHashes)) return RetryObstacle.Poison;
    const budget = state.pools.retryBudget(pool);
    const routers = state.countRouters();
    const now = state.clock.monotonic();
    if (!budget.hasRetry(routers, now)) return RetryObstacle.Budget;
    const placement = this.selectEndpoint();
    if (placement === undefined) return RetryObstacle.NoEndpoint;
    budget.tryAcquire(routers, now);
    return placement;
  }
}
