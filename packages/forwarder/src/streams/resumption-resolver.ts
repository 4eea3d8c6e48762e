/**
 * Finds the origin of a stream that a caller resumes: in this router's memory, at the keepers, by inference from the
 * versions that were listed lately, or from the prompts that endpoints have cached. A stream whose origin can't be
 * proved is refused, since at another version it would be joined from two texts.
 *
 * A router that was cut off or stood still doesn't know what the others have done meanwhile. So what it infers counts
 * only if the list of endpoints was complete when the caller had come back: the stream had begun by then. Entries may
 * be missing for a while after a start and after the return of the store, so the caller waits until they are back.
 * While the store answers nobody, the word of another router that keeps such streams has to do for the versions that
 * were listed. It doesn't for cached prompts, since nobody who keeps streams may have outlived the loss of all routers.
 */
import { toStreamKeys } from '@poplarpick/decisions';
import type { CacheFinding, Route, StreamOrigin } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { CallHead } from '../calls/call-protocol.ts';
import type { OriginExchange } from './origin-exchange.ts';
import type { StreamOrigins } from './stream-origins.ts';

/** Longest time that a caller waits for a confirmation of the list of endpoints, in ms. */
const MAX_CONFIRMATION_WAIT_MS = 400;

/**
 * Time without an event after which callers leave a stream: the longest of a time in ms, and multiples of the objective
 * and of the longest pause of its route.
 */
const CALLER_PATIENCE = { leastMs: 2_000, objectives: 4, pauses: 8 };

/** Part of this time, and of the deadline, that a caller waits for a proof by cached prompts; the rest serves it. */
const MAX_CACHE_WAIT_FRACTION = 0.65;

/** Longest time that a caller waits until the origin of a stream is proved that this router has begun, in ms. */
const MAX_PROOF_WAIT_MS = 1_200;

/** Period of the check whether they have arrived, in ms. */
const LISTS_CHECK_PERIOD_MS = 50;

/** Least value of `Retry-After` while they, or the confirmation, may still arrive, in seconds. */
const RETRY_AFTER_S = 0.5;

const MS_PER_SECOND = 1_000;

/** How an origin was found. */
export enum OriginProof {
  /** This router has begun the stream, or was told. */
  Memory = 'memory',
  Keeper = 'keeper',
  /** No other version was listed for as long as the stream can last. */
  OnlyVersion = 'only-version',
  /** Endpoints of this origin have the prompt cached, and all others have told that they don't. */
  CachedPrompt = 'cached-prompt',
}

/** A caller's request to go on with a stream. */
export interface Resumption {
  head: CallHead;
  route: Route;
  workspace: string | undefined;
}

/** What was found of the origin of a stream. */
interface OriginFinding {
  origin: StreamOrigin | undefined;
  proof: OriginProof | undefined;
  /** Undefined if no keeper had to be asked. */
  hasKeeperAnswered: boolean | undefined;
  /** The origin wasn't found, and may be found when the caller comes again. */
  mayBeFoundLater: boolean;
  /** Time until the list of endpoints can be whole, where a proof waits for that, in ms. */
  untilWholeMs?: number | undefined;
  /** Endpoints whose lists of cached prompts are missing in the proof; undefined if the lists weren't consulted. */
  untold?: number | undefined;
}

/** An inference from the list of endpoints. */
interface Inference {
  origin: StreamOrigin | undefined;
  /** The list would tell the origin if it were confirmed. */
  isUnconfirmed: boolean;
}

/** Options of a `ResumptionResolver`. */
export interface ResumptionResolverOptions {
  clock: Clock;
  log: Logger;
  origins: StreamOrigins;
  exchange: Pick<OriginExchange, 'ask'>;
}

/** Finds the origins of resumed streams. */
export class ResumptionResolver {
  private readonly options: ResumptionResolverOptions;

  constructor(options: ResumptionResolverOptions) {
    this.options = options;
  }

  /** Finds the origin. Rejects with a `RequestError` if it can't be proved, or if the route has left its pool. */
  async resolve(resumption: Resumption): Promise<StreamOrigin> {
    const { log, origins } = this.options;
    const { head, route } = resumption;
    const finding = await this.find(resumption);
    const { origin, proof, hasKeeperAnswered, untold } = finding;
    log.info({
      event: 'stream.resumed',
      request: head.requestId,
      resumed_request: head.resumedRequestId,
      proof,
      pool: origin?.pool,
      version: origin?.version,
      keeper_answered: hasKeeperAnswered,
      lists_untold: untold,
      endpoints_age_ms: Math.round(origins.confirmations.ageMs),
    });
    if (origin === undefined) throw createUnknownOriginError(finding);
    const isInRoute = route.targets.some(({ pool }) => pool === origin.pool);
    if (!isInRoute) throw createRefusal('the route has left the pool of the stream');
    return origin;
  }

  private async find({ head, route, workspace }: Resumption): Promise<OriginFinding> {
    const { clock, origins, exchange } = this.options;
    const { prompt, resumedRequestId: requestId } = head;
    const arrivedAt = clock.monotonic();
    const keys = toStreamKeys({ workspace, requestId, prompt });
    const key = keys.byRequest ?? keys.byPrompt;
    const isSettled = key === undefined || (await origins.pending.waitFor(key, MAX_PROOF_WAIT_MS));
    const recorded = key === undefined ? undefined : origins.findRecorded(key);
    if (recorded !== undefined) return createFinding(recorded, OriginProof.Memory);
    const { origin, hasAnswered, wasAsked } = await exchange.ask(keys);
    if (origin !== undefined) return createFinding(origin, OriginProof.Keeper, hasAnswered);
    const inference = await this.inferOnlyOrigin(route, arrivedAt, hasAnswered);
    if (inference.origin !== undefined)
      return createFinding(inference.origin, OriginProof.OnlyVersion, hasAnswered);
    // Another router that doesn't answer may have begun the stream after the lists were read.
    const isOutOfTouch = wasAsked && !hasAnswered;
    const cached = isOutOfTouch ? undefined : await this.findCached(head, route, arrivedAt);
    if (cached?.origin !== undefined)
      return createFinding(cached.origin, OriginProof.CachedPrompt, hasAnswered);
    const mayBeFoundLater =
      !isSettled || isOutOfTouch || inference.isUnconfirmed || cached?.mayBeFoundLater === true;
    return {
      origin: undefined,
      proof: undefined,
      hasKeeperAnswered: hasAnswered,
      mayBeFoundLater,
      untilWholeMs:
        cached?.mayBeFoundLater === true
          ? origins.confirmations.wholeFrom - clock.monotonic()
          : undefined,
      untold: cached?.untold,
    };
  }

  /** Infers the origin from the versions that were listed until `arrivedAt`, when the stream had begun. */
  private async inferOnlyOrigin(
    route: Route,
    arrivedAt: number,
    hasKeeperAnswered: boolean,
  ): Promise<Inference> {
    const { origins } = this.options;
    if (origins.findOnlyOrigin(route) === undefined)
      return { origin: undefined, isUnconfirmed: false };
    const { confirmations } = origins;
    const since = Math.max(arrivedAt, confirmations.wholeFrom);
    const isConfirmed = await confirmations.waitSince(since, MAX_CONFIRMATION_WAIT_MS);
    const origin = origins.findOnlyOrigin(route);
    if ((isConfirmed || hasKeeperAnswered) && confirmations.isWhole)
      return { origin, isUnconfirmed: false };
    return { origin: undefined, isUnconfirmed: origin !== undefined };
  }

  /**
   * Looks for the prompt in the lists of cached prompts. Waits for those that could tell another origin, and until the
   * list of endpoints is known to have been whole when the caller had come, unless that takes longer than it waits.
   */
  private async findCached(head: CallHead, route: Route, arrivedAt: number): Promise<CacheFinding> {
    const { clock, origins } = this.options;
    const { confirmations } = origins;
    const waitUntil = arrivedAt + maxCacheWaitMs(head, route);
    for (;;) {
      const since = Math.max(arrivedAt, confirmations.wholeFrom);
      const finding = origins.findCached(head.prompt, route, since);
      const leftMs = since > waitUntil ? 0 : waitUntil - clock.monotonic();
      if (!finding.mayBeFoundLater || leftMs <= 0) return finding;
      await this.awaitNews(since, leftMs);
    }
  }

  /** Waits at most `maxWaitMs` until the list of endpoints is confirmed, or until more lists may have come. */
  private async awaitNews(since: number, maxWaitMs: number): Promise<void> {
    const { clock, origins } = this.options;
    const { confirmations } = origins;
    const canBeConfirmed = confirmations.confirmedAt < since && clock.monotonic() >= since;
    if (canBeConfirmed) await confirmations.waitSince(since, maxWaitMs);
    else await new Promise<void>((resolve) => clock.after(LISTS_CHECK_PERIOD_MS, resolve));
  }
}

/** Longest time that a caller waits for a proof by cached prompts, in ms. */
function maxCacheWaitMs(
  { deadlineMs }: CallHead,
  { objectiveMs, pauseMs, timeoutMs }: Route,
): number {
  const { leastMs, objectives, pauses } = CALLER_PATIENCE;
  const patienceMs = Math.max(leastMs, objectives * objectiveMs, pauses * pauseMs);
  return MAX_CACHE_WAIT_FRACTION * Math.min(patienceMs, deadlineMs ?? timeoutMs, timeoutMs);
}

function createFinding(
  origin: StreamOrigin,
  proof: OriginProof,
  hasKeeperAnswered?: boolean,
): OriginFinding {
  return { origin, proof, hasKeeperAnswered, mayBeFoundLater: false };
}

/**
 * The refusal of a stream whose origin isn't known. Coming again helps only where it may be found later, and not before
 * the list of endpoints can be whole.
 */
function createUnknownOriginError({
  mayBeFoundLater,
  untilWholeMs = 0,
}: OriginFinding): RequestError {
  const retryAfterSeconds = Math.max(RETRY_AFTER_S, untilWholeMs / MS_PER_SECOND);
  return createRefusal(
    'the version that began the stream is unknown',
    mayBeFoundLater ? retryAfterSeconds : undefined,
  );
}

function createRefusal(reason: string, retryAfterSeconds?: number): RequestError {
  return new RequestError(reason, {
    code: ErrorCode.StreamNotResumable,
    verdict: Verdict.NotRun,
    retryAfterSeconds,
  });
}
