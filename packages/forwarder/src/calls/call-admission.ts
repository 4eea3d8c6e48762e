/**
 * Admission of one call: whether its prompt may be served, what it counts against its workspace's share, and
 * whether its wait at the selected endpoint is worthwhile. Builds the errors of calls that are refused; none of
 * those has run.
 */
import { isRequestHash, retryAfterLimitMs, retryAfterPauseMs } from '@poplarpick/decisions';
import type { Route, SuspectHash, ShareUsage } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { RouterState } from '../router-state.ts';
import type { CallHead } from './call-protocol.ts';
import { refusalReason } from './call-placer.ts';
import type { CallPlacer } from './call-placer.ts';
import type { Placement } from './endpoint-evaluator.ts';
import type { StreamBinding } from './stream-binding.ts';

const MS_PER_SECOND = 1_000;

const NO_SHARE_USAGE: ShareUsage = { shareUsed: 0, surplusUsed: 0 };

/** Value of `Retry-After` when no endpoint is available, in ms. */
const NO_ENDPOINT_RETRY_MS = 500;

/** Options of a `CallAdmission`. */
export interface CallAdmissionOptions {
  state: RouterState;
  placer: CallPlacer;
  head: CallHead;
  route: Route;
  pool: string;
  workspace: string | undefined;
  binding: StreamBinding;
  /** Hashes of what may crash an endpoint: the request as a whole, and the shared segments of its prompt. */
  suspectHashes: readonly SuspectHash[];
}

/** Decides on the admission of one call. */
export class CallAdmission {
  private readonly options: CallAdmissionOptions;
  private usage = NO_SHARE_USAGE;
  private isRetry = false;
  private isBeyondShare = false;

  constructor(options: CallAdmissionOptions) {
    this.options = options;
  }

  /** Usage of the workspace's share when the call arrived. */
  get shareUsage(): ShareUsage {
    return this.usage;
  }

  /** The caller was refused before and has retried. */
  get isCallerRetry(): boolean {
    return this.isRetry;
  }

  /** The workspace had used up its fair share when the call was admitted. */
  get isOverShare(): boolean {
    return this.isBeyondShare;
  }

  /** The refusal of a call that would crash its endpoint; undefined if it may be served. */
  checkPoison(): RequestError | undefined {
    const { suspectHashes, state } = this.options;
    const blocked = state.poison.findBlocked(suspectHashes);
    if (blocked === undefined) {
      state.poison.recordAdmitted(suspectHashes);
      return undefined;
    }
    const { suspect, remainingMs } = blocked;
    if (isRequestHash(suspect)) {
      return createRefusal(
        'the request has crashed endpoints',
        ErrorCode.RequestBlocked,
        remainingMs,
      );
    }
    const reason = `segment ${suspect} of the prompt has crashed endpoints`;
    return createRefusal(reason, ErrorCode.PromptBlocked, remainingMs);
  }

  /** Records the demand of the workspace, unless the call is a caller's retry. */
  recordArrival(): void {
    const { head, workspace, state } = this.options;
    if (workspace === undefined || head.prompt === undefined) return;
    this.isRetry = state.shares.recordArrival(workspace, head.prompt);
    this.usage = state.shares.measureUsage(workspace);
  }

  /**
   * Admits the call, see `CallPlacer.admitAtBest`. Returns the refusal if it isn't. `remainingMs` is until its
   * deadline.
   */
  admit(
    best: Placement,
    remainingMs: number,
    selectWithin: (maxWaitMs: number) => Placement | undefined,
  ): Placement | RequestError {
    const { state, pool, route, placer, binding } = this.options;
    const { usage: shareUsage, isRetry: isCallerRetry } = this;
    const { isResumption } = binding;
    const request = { route, remainingMs, shareUsage, isCallerRetry, isResumption };
    const { placement, decision } = placer.admitAtBest(request, best, selectWithin);
    this.isBeyondShare = decision.isOverShare;
    if (placement !== undefined) return placement;
    if (!decision.isForShare) state.pools.surplusLimiter(pool).recordRefused();
    return createRefusal(refusalReason(decision), ErrorCode.QueueFull, decision.retryAfterMs);
  }

  /**
   * The refusal of a call for which no endpoint is left; if all are paused, until the first pause ends, and if
   * all have got what they take, until one takes another request.
   */
  createNoEndpointError(reason: string): RequestError {
    const { state, pool, binding } = this.options;
    if (binding.isStranded) {
      const stranded = 'no endpoint of the version that began the stream is left';
      return createRefusal(stranded, ErrorCode.StreamNotResumable);
    }
    const pauseMs = state.endpoints.timeUntilAvailableMs(pool, (endpoint) =>
      binding.allows(endpoint),
    );
    if (pauseMs !== undefined) {
      const retryAfterMs = retryAfterPauseMs(pauseMs, state.random());
      return createRefusal(reason, ErrorCode.NoEndpoint, retryAfterMs);
    }
    const limitMs = state.limits.timeUntilAvailableMs(pool);
    const retryAfterMs =
      limitMs === undefined ? NO_ENDPOINT_RETRY_MS : retryAfterLimitMs(limitMs, state.random());
    return createRefusal(reason, ErrorCode.NoEndpoint, retryAfterMs);
  }

  /** The refusal of a call whose deadline has passed before it was sent. */
  createDeadlineError(reason: string): RequestError {
    return createRefusal(reason, ErrorCode.NoEndpoint, 0);
  }

  /** Records a refusal, so that the caller's retry is recognized. A blocked call is expected to stay away. */
  recordRefusal({ code }: RequestError): void {
    const { head, workspace, state } = this.options;
    if (code === ErrorCode.PromptBlocked || code === ErrorCode.RequestBlocked) return;
    if (workspace === undefined || head.prompt === undefined) return;
    state.shares.recordRefusal(workspace, head.prompt);
  }
}

/** A refusal; without a retry-after time, coming again doesn't help. */
function createRefusal(reason: string, code: ErrorCode, retryAfterMs?: number): RequestError {
  const retryAfterSeconds = retryAfterMs === undefined ? undefined : retryAfterMs / MS_PER_SECOND;
  return new RequestError(reason, { code, verdict: Verdict.NotRun, retryAfterSeconds });
}
