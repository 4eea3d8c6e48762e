/**
 * Finds the origin of a stream that a caller resumes: in this router's memory, at the keepers, by inference from the
 * versions that were listed lately, or from the prompts that endpoints have cached. A stream whose origin can't be
 * proved is refused, since at another version it would be joined from two texts.
 */
import { toStreamKeys } from '@poplarpick/decisions';
import type { Prompt, Route, StreamOrigin } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { CallHead } from '../calls/call-protocol.ts';
import type { OriginExchange } from './origin-exchange.ts';
import type { StreamOrigins } from './stream-origins.ts';

/** Longest time that a caller waits for the lists of cached prompts that the router has asked for, in ms. */
const MAX_LISTS_WAIT_MS = 700;

/** Period of the check whether they have arrived, in ms. */
const LISTS_CHECK_PERIOD_MS = 50;

/** Value of `Retry-After` while they may still arrive, in seconds. */
const LISTS_RETRY_AFTER_S = 0.5;

/** How an origin was found. */
export enum OriginProof {
  /** This router has begun the stream, or was told. */
  Memory = 'memory',
  Keeper = 'keeper',
  /** No other version was listed for as long as the stream can last. */
  OnlyVersion = 'only-version',
  /** Only endpoints of this origin have the prompt cached. */
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
}

/** Options of a `ResumptionResolver`. */
export interface ResumptionResolverOptions {
  clock: Clock;
  log: Logger;
  origins: StreamOrigins;
  exchange: OriginExchange;
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
    const { origin, proof, hasKeeperAnswered } = await this.find(resumption);
    log.info({
      event: 'stream.resumed',
      request: head.requestId,
      resumed_request: head.resumedRequestId,
      proof,
      pool: origin?.pool,
      version: origin?.version,
      keeper_answered: hasKeeperAnswered,
    });
    if (origin === undefined) throw createUnknownOriginError(origins.awaitsLists);
    const isInRoute = route.targets.some(({ pool }) => pool === origin.pool);
    if (!isInRoute) throw createRefusal('the route has left the pool of the stream');
    return origin;
  }

  private async find({ head, route, workspace }: Resumption): Promise<OriginFinding> {
    const { origins, exchange } = this.options;
    const { prompt, resumedRequestId: requestId } = head;
    const keys = toStreamKeys({ workspace, requestId, prompt });
    const key = keys.byRequest ?? keys.byPrompt;
    const recorded = key === undefined ? undefined : origins.findRecorded(key);
    if (recorded !== undefined)
      return { origin: recorded, proof: OriginProof.Memory, hasKeeperAnswered: undefined };
    const { origin, hasAnswered: hasKeeperAnswered } = await exchange.ask(keys);
    if (origin !== undefined) return { origin, proof: OriginProof.Keeper, hasKeeperAnswered };
    const only = origins.findOnlyOrigin(route, hasKeeperAnswered);
    if (only !== undefined)
      return { origin: only, proof: OriginProof.OnlyVersion, hasKeeperAnswered };
    const cached = await this.findCached(prompt, route);
    const proof = cached === undefined ? undefined : OriginProof.CachedPrompt;
    return { origin: cached, proof, hasKeeperAnswered };
  }

  /** Looks for the prompt in the lists of cached prompts, and waits for those that could tell another origin. */
  private async findCached(
    prompt: Prompt | undefined,
    route: Route,
  ): Promise<StreamOrigin | undefined> {
    const { clock, origins } = this.options;
    const waitUntil = clock.monotonic() + MAX_LISTS_WAIT_MS;
    for (;;) {
      const cached = origins.findCached(prompt, route);
      const isFinal = !origins.awaitsListsBeside(cached) || clock.monotonic() >= waitUntil;
      if (isFinal) return cached;
      await new Promise<void>((resolve) => clock.after(LISTS_CHECK_PERIOD_MS, resolve));
    }
  }
}

/** The refusal of a stream whose origin isn't known. Coming again helps only while lists may still arrive. */
function createUnknownOriginError(mayBeKnownLater: boolean): RequestError {
  const retryAfterSeconds = mayBeKnownLater ? LISTS_RETRY_AFTER_S : undefined;
  return createRefusal('the version that began the stream is unknown', retryAfterSeconds);
}

function createRefusal(reason: string, retryAfterSeconds?: number): RequestError {
  return new RequestError(reason, {
    code: ErrorCode.StreamNotResumable,
    verdict: Verdict.NotRun,
    retryAfterSeconds,
  });
}
