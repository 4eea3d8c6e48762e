/**
 * Checks of a call before it is placed: a route, a key that is known to be good, a pool. What is
 * refused here has not run. A router whose routes may be old doesn't say that a route or a key is
 * missing: it asks the caller to come back.
 */
import { selectPool } from '@poplarpick/decisions';
import type { Route, RouteIndex } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { CallHead } from '../calls/call-protocol.ts';
import type { RouterState } from '../router-state.ts';

/** Age of the routes up to which a missing route or key is said to be missing, in ms. */
const MAX_CERTAIN_AGE_MS = 1_500;

/** When to come back to a router that has no routes or can't trust its keys, in seconds. */
const STALE_RETRY_AFTER_S = 0.3;

/** A call that may be placed. */
export interface CheckedCall {
  route: Route;
  pool: string;
  workspace: string | undefined;
}

/** Checks a call. Throws a `RequestError` where it is refused. */
export function checkCall(head: CallHead, state: RouterState, now: number): CheckedCall {
  const { routes } = state;
  if (routes === undefined) throw createStaleStateError('no routes are known yet');
  const path = head.target.split('?', 1)[0] ?? head.target;
  const route = routes.findRoute(head.host, path);
  if (route === undefined)
    throw createNotFoundError(state, now, ErrorCode.PathNotFound, 'no route');
  const workspace = authenticate(head, route, routes, state, now);
  const pool = selectPool(route, head.requestId);
  if (pool === undefined) throw createStaleStateError('the route has no pool');
  return { route, pool, workspace };
}

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
