/**
 * Model checker that explores every interleaving of one request with two routers, two sidecars, a
 * caller that submits it again, links that each end closes independently, restarts, pauses longer than
 * every timeout, and late delivery.
 */
import { expect } from 'chai';
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss, LossAction } from './lost-attempt.ts';
import {
  classifyMissingAttempt,
  createRequestState,
  endRequest,
  grantAttempt,
  MAX_TRUSTED_GRANT_AGE_MS,
  isCurrentAttempt,
  combineVerdicts,
  RequestPhase,
  settleLostAttempt,
  computeUnfinishedVerdict,
} from './request-state.ts';
import type { SidecarInstance, RequestState } from './request-state.ts';

const ROUTERS = [0, 1];
const SIDECARS = [0, 1];

enum RequestKind {
  /** Must run once; submitted to one router. */
  Once = 'once',
  /** Must run once; submitted to both routers with one idempotency key. */
  Keyed = 'keyed',
  Repeatable = 'repeatable',
}

enum AnswerKind {
  Complete = 'whole',
  /** The router restarted, so the caller's connection broke without an answer. */
  Broken = 'broken',
}

type Answer = AnswerKind | Verdict;

interface Execution {
  attempt: number;
  ended: boolean;
}

type ToRouter = { attempt: number; incarnation: number } & (
  { kind: 'end' } | { kind: 'refuse'; verdict: Verdict }
);

interface ModelLink {
  routerOpen: boolean;
  sidecarOpen: boolean;
  grants: number[];
  toRouter: ToRouter[];
}

interface ModelState {
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

interface Step {
  name: string;
  next: ModelState;
}

/** How often each disturbance may occur, which bounds the number of states; two submissions allow fewer. */
const DISTURBANCE_LIMITS: Record<RequestKind, ModelState['remaining']> = {
  [RequestKind.Once]: { closes: 2, sidecarRestarts: 1, routerRestarts: 1, expiries: 1 },
  [RequestKind.Keyed]: { closes: 1, sidecarRestarts: 1, routerRestarts: 1, expiries: 0 },
  [RequestKind.Repeatable]: { closes: 1, sidecarRestarts: 1, routerRestarts: 1, expiries: 1 },
};

function createInitialState(kind: RequestKind): ModelState {
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
function listRouters(kind: RequestKind): number[] {
  return kind === RequestKind.Keyed ? ROUTERS : [0];
}

/** Sidecars that take part: only one with a key, since the key is pinned. */
function listSidecars(kind: RequestKind): number[] {
  return kind === RequestKind.Keyed ? [0] : SIDECARS;
}

/** Lists all steps that are possible in a state. */
class StepGenerator {
  private readonly kind: RequestKind;
  private readonly state: ModelState;
  private readonly steps: Step[] = [];

  constructor(kind: RequestKind, state: ModelState) {
    this.kind = kind;
    this.state = state;
  }

  listSteps(): Step[] {
    for (const router of listRouters(this.kind)) {
      this.submit(router);
      this.expire(router);
      this.restartRouter(router);
      for (const sidecar of listSidecars(this.kind)) this.listLinkSteps(router, sidecar);
    }
    listSidecars(this.kind).forEach((sidecar) => this.restartSidecar(sidecar));
    if (!this.state.aged) this.addStep('age', (next) => (next.aged = true));
    return this.steps;
  }

  private listLinkSteps(router: number, sidecar: number): void {
    this.grant(router, sidecar);
    this.deliverGrant(router, sidecar);
    this.finish(router, sidecar);
    this.deliverToRouter(router, sidecar);
    this.closeLinkEnds(router, sidecar);
    this.reconnect(router, sidecar);
    this.expireGracePeriod(router, sidecar);
    this.discardEndedExecution(router, sidecar);
  }

  private addStep(name: string, change: (next: ModelState) => void): void {
    const next = JSON.parse(JSON.stringify(this.state)) as ModelState;
    change(next);
    this.steps.push({ name, next });
  }

  private submit(router: number): void {
    if (this.state.requests[router] !== null || this.state.answers[router] !== null) return;
    if (router === 1 && (this.kind !== RequestKind.Keyed || this.state.requests[0] === null))
      return;
    this.addStep(`submit ${router}`, (next) => {
      next.requests[router] = createRequestState(this.kind === RequestKind.Repeatable);
    });
  }

  private grant(router: number, sidecar: number): void {
    const request = this.state.requests[router];
    const link = getLink(this.state, router, sidecar);
    if (request?.phase !== RequestPhase.Queued || !link.routerOpen || !link.sidecarOpen) return;
    if (this.kind === RequestKind.Keyed && sidecar !== 0) return;
    this.addStep(`grant ${router} ${sidecar}`, (next) => {
      const granted = grantAttempt(request, getSidecarInstance(next, sidecar));
      next.requests[router] = granted;
      getLink(next, router, sidecar).grants.push(granted.attempt);
    });
  }

  private deliverGrant(router: number, sidecar: number): void {
    const link = getLink(this.state, router, sidecar);
    if (!link.sidecarOpen || link.grants.length === 0) return;
    this.addStep(`deliver grant ${router} ${sidecar}`, (next) => {
      const attempt = getLink(next, router, sidecar).grants.shift() ?? 0;
      startOrRefuse(this.kind, next, router, sidecar, attempt);
    });
    // Refusals are explored only for the other kinds, since with two submissions they double the states.
    if (this.kind === RequestKind.Keyed) return;
    this.addStep(`refuse grant ${router} ${sidecar}`, (next) => {
      const attempt = getLink(next, router, sidecar).grants.shift() ?? 0;
      const incarnation = next.incarnations[sidecar] ?? 0;
      const refusal = { kind: 'refuse', verdict: Verdict.NotRun, attempt, incarnation } as const;
      getLink(next, router, sidecar).toRouter.push(refusal);
    });
  }

  private finish(router: number, sidecar: number): void {
    const execution = this.state.executions[sidecar]?.[router];
    if (execution?.ended !== false) return;
    this.addStep(`finish ${router} ${sidecar}`, (next) => {
      if (next.keyRecords[sidecar] === 'running') next.keyRecords[sidecar] = 'ended';
      // All executions with the same key end at the same time.
      const all = this.kind === RequestKind.Keyed ? ROUTERS : [router];
      all.forEach((each) => endExecution(next, each, sidecar));
    });
  }

  private deliverToRouter(router: number, sidecar: number): void {
    const link = getLink(this.state, router, sidecar);
    if (!link.routerOpen || link.toRouter.length === 0) return;
    this.addStep(`deliver to router ${router} ${sidecar}`, (next) => {
      const message = getLink(next, router, sidecar).toRouter.shift();
      if (message !== undefined) receive(next, router, sidecar, message);
    });
  }

  private closeLinkEnds(router: number, sidecar: number): void {
    const { routerOpen, sidecarOpen } = getLink(this.state, router, sidecar);
    // The end that stays open detects the silence eventually, so its close is not counted.
    const cost = routerOpen && sidecarOpen ? 1 : 0;
    if (this.state.remaining.closes < cost) return;
    if (routerOpen) {
      this.addStep(`router closes ${router} ${sidecar}`, (next) => {
        next.remaining.closes -= cost;
        closeAtRouter(getLink(next, router, sidecar));
      });
    }
    if (!sidecarOpen) return;
    this.addStep(`sidecar closes ${router} ${sidecar}`, (next) => {
      next.remaining.closes -= cost;
      closeAtSidecar(getLink(next, router, sidecar));
    });
  }

  /** Opens a new link: the sidecar lists its executions, and the router settles a missing attempt. */
  private reconnect(router: number, sidecar: number): void {
    if (getLink(this.state, router, sidecar).sidecarOpen) return;
    this.addStep(`reconnect ${router} ${sidecar}`, (next) => {
      const fresh = { routerOpen: true, sidecarOpen: true, grants: [], toRouter: [] };
      const row = next.links[router];
      if (row !== undefined) row[sidecar] = fresh;
      resume(next, router, sidecar);
    });
  }

  private expireGracePeriod(router: number, sidecar: number): void {
    const request = this.state.requests[router];
    if (request?.phase !== RequestPhase.Granted) return;
    if (getLink(this.state, router, sidecar).routerOpen) return;
    if (request.sidecar?.host !== String(sidecar)) return;
    this.addStep(`grace passes ${router} ${sidecar}`, (next) =>
      settle(next, router, AttemptLoss.SidecarGone),
    );
  }

  private expire(router: number): void {
    const request = this.state.requests[router];
    if (request === null || request === undefined || request.phase === RequestPhase.Ended) return;
    if (this.state.remaining.expiries === 0) return;
    this.addStep(`expire ${router}`, (next) => {
      next.remaining.expiries -= 1;
      next.answers[router] = computeUnfinishedVerdict(request);
      next.requests[router] = endRequest(request);
    });
  }

  private restartRouter(router: number): void {
    if (this.state.remaining.routerRestarts === 0) return;
    this.addStep(`restart router ${router}`, (next) => {
      next.remaining.routerRestarts -= 1;
      const request = next.requests[router];
      if (request?.phase !== RequestPhase.Ended && request !== null) {
        next.answers[router] = AnswerKind.Broken;
        next.requests[router] = null;
      }
      SIDECARS.forEach((sidecar) => closeAtRouter(getLink(next, router, sidecar)));
    });
  }

  private restartSidecar(sidecar: number): void {
    if (this.state.remaining.sidecarRestarts === 0) return;
    this.addStep(`restart sidecar ${sidecar}`, (next) => {
      next.remaining.sidecarRestarts -= 1;
      next.incarnations[sidecar] = (next.incarnations[sidecar] ?? 0) + 1;
      next.executions[sidecar] = [null, null];
      next.keyRecords[sidecar] = 'none';
      ROUTERS.forEach((router) => closeAtSidecar(getLink(next, router, sidecar)));
    });
  }

  /** Discards an ended execution whose retention time has passed; its key stays in the cache. */
  private discardEndedExecution(router: number, sidecar: number): void {
    if (!this.state.aged || this.state.executions[sidecar]?.[router]?.ended !== true) return;
    this.addStep(`discard ${router} ${sidecar}`, (next) =>
      setExecution(next, router, sidecar, null),
    );
  }
}

function startOrRefuse(
  kind: RequestKind,
  next: ModelState,
  router: number,
  sidecar: number,
  attempt: number,
): void {
  const incarnation = next.incarnations[sidecar] ?? 0;
  const keyRecord = next.keyRecords[sidecar];
  if (kind !== RequestKind.Keyed || (keyRecord === 'none' && incarnation === 0)) {
    next.runs[router] = (next.runs[router] ?? 0) + 1;
    if (kind === RequestKind.Keyed) next.keyRecords[sidecar] = 'running';
    setExecution(next, router, sidecar, { attempt, ended: false });
    return;
  }
  if (keyRecord === 'none') {
    // The sidecar started after the key was created.
    const refusal = { kind: 'refuse', verdict: Verdict.MayHaveRun, attempt, incarnation } as const;
    getLink(next, router, sidecar).toRouter.push(refusal);
    return;
  }
  setExecution(next, router, sidecar, { attempt, ended: false });
  if (keyRecord === 'ended') endExecution(next, router, sidecar);
}

function endExecution(next: ModelState, router: number, sidecar: number): void {
  const execution = next.executions[sidecar]?.[router];
  if (execution?.ended !== false) return;
  execution.ended = true;
  const link = getLink(next, router, sidecar);
  const incarnation = next.incarnations[sidecar] ?? 0;
  if (link.sidecarOpen)
    link.toRouter.push({ kind: 'end', attempt: execution.attempt, incarnation });
}

function receive(next: ModelState, router: number, sidecar: number, message: ToRouter): void {
  const request = next.requests[router];
  const sender = { host: String(sidecar), incarnation: String(message.incarnation) };
  if (
    request === null ||
    request === undefined ||
    !isCurrentAttempt(request, sender, message.attempt)
  )
    return;
  if (message.kind === 'refuse' && message.verdict === Verdict.NotRun) {
    settle(next, router, AttemptLoss.NeverStarted);
    return;
  }
  next.answers[router] =
    message.kind === 'end' ? AnswerKind.Complete : combineVerdicts(request, message.verdict);
  next.requests[router] = endRequest(request);
}

function resume(next: ModelState, router: number, sidecar: number): void {
  const request = next.requests[router];
  const execution = next.executions[sidecar]?.[router];
  const sender = getSidecarInstance(next, sidecar);
  const isListed =
    request !== null &&
    request !== undefined &&
    execution !== null &&
    execution !== undefined &&
    isCurrentAttempt(request, sender, execution.attempt);
  if (isListed) {
    const { attempt, ended } = execution;
    const incarnation = next.incarnations[sidecar] ?? 0;
    if (ended) getLink(next, router, sidecar).toRouter.push({ kind: 'end', attempt, incarnation });
    return;
  }
  if (request?.phase !== RequestPhase.Granted || request.sidecar?.host !== sender.host) return;
  const grantAgeMs = next.aged ? MAX_TRUSTED_GRANT_AGE_MS : 0;
  settle(next, router, classifyMissingAttempt(request, { sender, grantAgeMs, expired: false }));
}

function settle(next: ModelState, router: number, loss: AttemptLoss): void {
  const current = next.requests[router];
  if (current === null || current === undefined) return;
  const { state, decision } = settleLostAttempt(current, loss);
  next.requests[router] = state;
  if (decision.action === LossAction.Fail) next.answers[router] = decision.verdict;
}

function closeAtRouter(link: ModelLink): void {
  link.routerOpen = false;
  link.toRouter = [];
}

function closeAtSidecar(link: ModelLink): void {
  link.sidecarOpen = false;
  link.grants = [];
}

function getLink(state: ModelState, router: number, sidecar: number): ModelLink {
  const link = state.links[router]?.[sidecar];
  if (link === undefined) throw new Error('no such link');
  return link;
}

function getSidecarInstance(state: ModelState, sidecar: number): SidecarInstance {
  return { host: String(sidecar), incarnation: String(state.incarnations[sidecar] ?? 0) };
}

function setExecution(
  next: ModelState,
  router: number,
  sidecar: number,
  execution: Execution | null,
): void {
  const row = next.executions[sidecar];
  if (row !== undefined) row[router] = execution;
}

function checkState(kind: RequestKind, state: ModelState): string | undefined {
  const runs = state.runs.reduce((sum, count) => sum + count, 0);
  if (kind !== RequestKind.Repeatable && runs > 1) return 'ran twice';
  for (const router of ROUTERS) {
    const answer = state.answers[router];
    if (answer === Verdict.NotRun && (state.runs[router] ?? 0) > 0) return 'not-run, but it ran';
    if (answer === AnswerKind.Complete && runs === 0) return 'answered without a run';
  }
  return undefined;
}

/** Returns whether a submission lacks an answer, which is a fault in a state without further steps. */
function isUnanswered(state: ModelState): boolean {
  return ROUTERS.some(
    (router) => state.requests[router] !== null && state.answers[router] === null,
  );
}

interface Exploration {
  states: number;
  problem: string | undefined;
}

function explore(kind: RequestKind): Exploration {
  const first = createInitialState(kind);
  const seen = new Set([JSON.stringify(first)]);
  const frontier: { state: ModelState; trace: string[] }[] = [{ state: first, trace: [] }];
  for (let entry = frontier.pop(); entry !== undefined; entry = frontier.pop()) {
    const steps = new StepGenerator(kind, entry.state).listSteps();
    if (steps.length === 0 && isUnanswered(entry.state)) {
      return { states: seen.size, problem: `never answered: ${entry.trace.join(', ')}` };
    }
    for (const { name, next } of steps) {
      const key = JSON.stringify(next);
      if (seen.has(key)) continue;
      seen.add(key);
      const trace = [...entry.trace, name];
      const problem = checkState(kind, next);
      if (problem !== undefined)
        return { states: seen.size, problem: `${problem}: ${trace.join(', ')}` };
      frontier.push({ state: next, trace });
    }
  }
  return { states: seen.size, problem: undefined };
}

describe('request state machine, explored exhaustively', () => {
  for (const kind of Object.values(RequestKind)) {
    it(`upholds its guarantees in every interleaving of a request that is ${kind}`, () => {
      const { states, problem } = explore(kind);
      expect(problem).to.equal(undefined);
      console.log(`      ${states} states of a request that is ${kind}`);
    });
  }
});
