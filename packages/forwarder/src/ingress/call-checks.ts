/**
 * Checks a call before placement: it needs a route, a valid API key and a pool. A call refused here has
 * not run. A router whose routes may be stale doesn't report an unknown route or key but asks the caller
 * to retry.
 */
import { isResumableStream, parseEventId, selectPool } from '@poplarpick/decisions';
import type { Route, RouteIndex } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { callDeadlineAt } from '../calls/call-deadline.ts';
import type { CallHead } from '../calls/call-protocol.ts';
import type { StopCandidate } from '../planned-stop.ts';
import type { RouterState } from '../router-state.ts';

/** Largest age of the routes, in ms, at which an unknown route or key is reported as such. */
const MAX_CERTAIN_AGE_MS = 1_500;

/** Value of `Retry-After` when the routes or keys are missing or may be stale, in seconds. */
const STALE_RETRY_AFTER_S = 0.3;

/** Value of `Retry-After` where other routers can serve the caller now, in seconds. */
const ELSEWHERE_RETRY_AFTER_S = 0.05;

/** Result of the checks: where the call goes and which workspace sent it. */
export interface CheckedCall {
  route: Route;
  pool: string;
  workspace: string | undefined;
}

/** Checks a call. Throws a `RequestError` if it is refused. */
export function checkCall(head: CallHead, state: RouterState, now: number): CheckedCall {
  const { routes } = state;
  if (routes === undefined) throw createStaleStateError('no routes are known yet');
  const route = findRoute(head, routes);
  if (route === undefined)
    throw createNotFoundError(state, now, ErrorCode.PathNotFound, 'no route');
  const workspace = authenticate(head, route, routes, state, now);
  const pool = selectPool(route, head.requestId);
  if (pool === undefined) throw createStaleStateError('the route has no pool');
  return { route, pool, workspace };
}

/**
 * The last event that the caller has of a stream that it resumes; undefined if it resumes none. Throws a
 * `RequestError` if the event can't be told, since no answer could be proved to go on after it.
 */
export function readResumedEvent({ lastEventId }: CallHead, route: Route): number | undefined {
  if (lastEventId === undefined || !isResumableStream(route)) return undefined;
  const id = parseEventId(lastEventId);
  if (id !== undefined) return id;
  throw new RequestError('the id of the last event is no number', {
    code: ErrorCode.InvalidRequest,
    verdict: Verdict.NotRun,
  });
}

/** The route of a call; undefined if there is none. */
export function findRoute({ host, target }: CallHead, routes: RouteIndex): Route | undefined {
  const path = target.split('?', 1)[0] ?? target;
  return routes.findRoute(host, path);
}

/** What a planned stop has to know of a call. */
export function toStopCandidate(head: CallHead, route: Route, arrivedAt: number): StopCandidate {
  return { route, deadlineAt: callDeadlineAt(head, route, arrivedAt) };
}

/** The refusal of a call that what is left of a planned stop can't hold, so that its caller goes elsewhere. */
export function createStopError(): RequestError {
  return new RequestError('the router is stopping', {
    code: ErrorCode.Draining,
    verdict: Verdict.NotRun,
    retryAfterSeconds: ELSEWHERE_RETRY_AFTER_S,
  });
}

/** The same refusal for a caller that other routers can serve now, if its call would be served later here. */
export function sendElsewhere(error: RequestError): RequestError {
  const { message, code, verdict, retryAfterSeconds } = error;
  if (code !== ErrorCode.NoEndpoint || retryAfterSeconds === undefined) return error;
  return new RequestError(message, {
    code,
    verdict,
    retryAfterSeconds: ELSEWHERE_RETRY_AFTER_S,
    cause: error,
  });
}

/** Returns the workspace of the API key; undefined for a route that requires no key. */
function authenticate(
  head: CallHead,
  route: Route,
  routes: RouteIndex,
  state: RouterState,
  now: number,
): string | undefined {
  if (!routes.requiresKey(route)) return undefined;
  if (!state.freshness.isFresh(now)) throw createStaleStateError('the keys may be out of date');
  const workspace = head.apiKey === undefined ? undefined : routes.findWorkspace(head.apiKey);
  if (workspace !== undefined) return workspace;
  throw createNotFoundError(state, now, ErrorCode.InvalidApiKey, 'unknown key');
}

function createNotFoundError(
  state: RouterState,
  now: number,
  code: ErrorCode,
  message: string,
): RequestError {
  if (state.freshness.ageMs(now) > MAX_CERTAIN_AGE_MS)
    return createStaleStateError('the routes may be out of date');
  return new RequestError(message, { code, verdict: Verdict.NotRun });
}

function createStaleStateError(message: string): RequestError {
  return new RequestError(message, {
    code: ErrorCode.NoEndpoint,
    verdict: Verdict.NotRun,
    retryAfterSeconds: STALE_RETRY_AFTER_S,
  });
}
