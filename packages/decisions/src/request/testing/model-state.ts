/** State of the model of one request with two routers and two sidecars, and the accessors of its parts. */
import type { Verdict } from '@poplarpick/kernel';
import type { RequestState, SidecarInstance } from '../request-state.ts';

/** Routers of the model, by index. */
export const ROUTERS = [0, 1];
/** Sidecars of the model, by index. */
export const SIDECARS = [0, 1];

/** How a request may run, and to how many routers it is submitted. */
export enum RequestKind {
  /** Must run once; submitted to one router. */
  Once = 'once',
  /** Must run once; submitted to both routers with one idempotency key. */
  Keyed = 'keyed',
  Repeatable = 'repeatable',
}

/** What a caller received that is no error. */
export enum AnswerKind {
  Complete = 'whole',
  /** The router restarted, so the caller's connection broke without an answer. */
  Broken = 'broken',
}

type Answer = AnswerKind | Verdict;

/** One run of a request at a sidecar. */
export interface Execution {
  attempt: number;
  ended: boolean;
}

/** A message of a sidecar that its router has not received yet. */
export type ToRouter = { attempt: number; incarnation: number } & (
  { kind: 'end' } | { kind: 'refuse'; verdict: Verdict }
);

/** A link between a router and a sidecar, with what is under way in each direction. */
export interface ModelLink {
  routerOpen: boolean;
  sidecarOpen: boolean;
  grants: number[];
  toRouter: ToRouter[];
}

/** State of the request, the routers, the sidecars and their links. */
export interface ModelState {
  /** State of the request at each router; null before it is submitted and after a restart. */
  requests: (RequestState | null)[];
  answers: (Answer | null)[];
  /** Execution at each sidecar for each router, indexed `[sidecar][router]`. */
  executions: (Execution | null)[][];
  incarnations: number[];
  /** The idempotency key in each sidecar's cache: absent, running or ended. */
  keyRecords: ('none' | 'running' | 'ended')[];
  links: ModelLink[][];
  /** Number of runs of each router's submission. */
  runs: number[];
  /** Whether every grant so far is older than the time for which sidecars retain executions. */
  aged: boolean;
  remaining: { closes: number; sidecarRestarts: number; routerRestarts: number; expiries: number };
}

/** How often each disturbance may occur, which bounds the number of states; two submissions allow fewer. */
const DISTURBANCE_LIMITS: Record<RequestKind, ModelState['remaining']> = {
  [RequestKind.Once]: { closes: 2, sidecarRestarts: 1, routerRestarts: 1, expiries: 1 },
  [RequestKind.Keyed]: { closes: 1, sidecarRestarts: 1, routerRestarts: 1, expiries: 0 },
  [RequestKind.Repeatable]: { closes: 1, sidecarRestarts: 1, routerRestarts: 1, expiries: 1 },
};

/** State before the request is submitted. */
export function createInitialState(kind: RequestKind): ModelState {
  const openLink = (): ModelLink => ({
    routerOpen: true,
    sidecarOpen: true,
    grants: [],
    toRouter: [],
  });
  return {
    requests: [null, null],
    answers: [null, null],
    executions: SIDECARS.map(() => [null, null]),
    incarnations: [0, 0],
    keyRecords: ['none', 'none'],
    links: ROUTERS.map(() => SIDECARS.map(openLink)),
    runs: [0, 0],
    aged: kind === RequestKind.Keyed,
    remaining: DISTURBANCE_LIMITS[kind],
  };
}

/** Routers that take part: only one without a key. */
export function listRouters(kind: RequestKind): number[] {
  return kind === RequestKind.Keyed ? ROUTERS : [0];
}

/** Sidecars that take part: only one with a key, since the key is pinned. */
export function listSidecars(kind: RequestKind): number[] {
  return kind === RequestKind.Keyed ? [0] : SIDECARS;
}

/** Closes the router's end of a link, which loses what it had not received. */
export function closeAtRouter(link: ModelLink): void {
  link.routerOpen = false;
  link.toRouter = [];
}

/** Closes the sidecar's end of a link, which loses what it had not received. */
export function closeAtSidecar(link: ModelLink): void {
  link.sidecarOpen = false;
  link.grants = [];
}

/** The link between a router and a sidecar. */
export function getLink(state: ModelState, router: number, sidecar: number): ModelLink {
  const link = state.links[router]?.[sidecar];
  if (link === undefined) throw new Error('no such link');
  return link;
}

/** The present incarnation of a sidecar. */
export function getSidecarInstance(state: ModelState, sidecar: number): SidecarInstance {
  return { host: String(sidecar), incarnation: String(state.incarnations[sidecar] ?? 0) };
}

/** Sets the execution at a sidecar for a router. */
export function setExecution(
  next: ModelState,
  router: number,
  sidecar: number,
  execution: Execution | null,
): void {
  const row = next.executions[sidecar];
  if (row !== undefined) row[router] = execution;
}
