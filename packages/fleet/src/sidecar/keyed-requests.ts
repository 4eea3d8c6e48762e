/** Decides which requests with an idempotency key are run, answered from the cache, or refused. */
import { createHash } from 'node:crypto';
import { IdempotencyCache, KeyAction } from '@poplarpick/decisions';
import type { FleetConfiguration, KeyedRequest } from '@poplarpick/decisions';
import { ErrorCode, Verdict } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import type { AttemptReference, Grant, Job, GrantRefusal } from '../messages.ts';
import type { Execution } from './execution.ts';

/** Retry delay for a caller whose key is pinned to another endpoint. */
const PINNED_ELSEWHERE_RETRY_SECONDS = 1;

/** A refusal without the reference to its attempt. */
type KeyRefusal = Omit<GrantRefusal, keyof AttemptReference>;

const KEY_REFUSALS: Partial<Record<KeyAction, KeyRefusal>> = {
  [KeyAction.Conflict]: {
    code: ErrorCode.IdempotencyKeyConflict,
    message: 'the idempotency key was used with another request',
    elsewhere: false,
    verdict: Verdict.NotRun,
  },
  [KeyAction.Expired]: {
    code: ErrorCode.IdempotencyKeyExpired,
    message: 'the idempotency key is older than what is remembered of it',
    elsewhere: false,
    verdict: Verdict.MayHaveRun,
  },
  [KeyAction.FromFuture]: {
    code: ErrorCode.InvalidRequest,
    message: 'the idempotency key was made in the future; check the clock',
    elsewhere: false,
    verdict: Verdict.NotRun,
  },
  [KeyAction.PinnedElsewhere]: {
    code: ErrorCode.NoEndpoint,
    message: 'the idempotency key is pinned to another endpoint',
    elsewhere: false,
    verdict: Verdict.NotRun,
    retryAfterSeconds: PINNED_ELSEWHERE_RETRY_SECONDS,
  },
};

/** How to handle a granted request; with neither field set, it is run. */
export interface KeyCheck {
  /** The execution whose answer the request receives too. */
  leader?: Execution | undefined;
  refusal?: KeyRefusal | undefined;
}

/** Options of `KeyedRequests`. */
export interface KeyedRequestsOptions {
  endpoint: string;
  clock: Clock;
}

/** Caches the executions of one sidecar by idempotency key. */
export class KeyedRequests {
  private readonly clock: Clock;
  private readonly cache: IdempotencyCache<Execution>;

  constructor({ endpoint, clock }: KeyedRequestsOptions) {
    this.clock = clock;
    this.cache = new IdempotencyCache({ endpoint, startedAt: clock.now() });
  }

  applyConfiguration(configuration: FleetConfiguration): void {
    this.cache.applyConfiguration(configuration, this.clock.now());
  }

  /** Checks a granted request against the cache. A request without a key is always run. */
  check(grant: Grant): KeyCheck {
    const keyed = toKeyedRequest(grant.job);
    if (keyed === undefined) return {};
    const { action, answer } = this.cache.decide(keyed, this.clock.now());
    return { leader: answer, refusal: KEY_REFUSALS[action] };
  }

  /** Records that an execution starts. */
  recordStart(execution: Execution): void {
    const keyed = toKeyedRequest(execution.grant.job);
    if (keyed !== undefined) this.cache.recordStart(keyed, execution);
  }

  /** Caches the answer of an ended execution, or discards its key if it certainly has not run. */
  recordEnd(execution: Execution): void {
    const keyed = toKeyedRequest(execution.grant.job);
    if (keyed === undefined) return;
    if (execution.end?.failure?.verdict === Verdict.NotRun) this.cache.discard(keyed);
    else this.cache.recordEnd(keyed, execution.end?.bytes ?? 0);
  }
}

function toKeyedRequest(job: Job): KeyedRequest | undefined {
  const { idempotencyKey: key, workspace, pool } = job;
  if (key === undefined) return undefined;
  return { workspace, pool, key, digest: digestJob(job) };
}

/** Digest of the parts of a job that must be the same for one key. */
function digestJob({ pool, method, path, body }: Job): string {
  return createHash('sha256')
    .update(JSON.stringify([pool, method, path]))
    .update(body)
    .digest('hex');
}
