/**
 * Explores every interleaving of one request: two routers, two sidecars, a caller that sends it again,
 * links that each end closes on its own, restarts, pauses past every timeout and late delivery.
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
  /** Must run once; sent to one router. */
  Once = 'once',
  /** Must run once; sent to both routers under one key. */
  Keyed = 'keyed',
  Repeatable = 'repeatable',
}

enum AnswerKind {
  Whole = 'whole',
  /** The router restarted, so the connection broke without a word. */
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

interface State {
  /** The submission at each router. */
  lives: (RequestState | null)[];
  answers: (Answer | null)[];
  /** Executions of each sidecar by router. */
  executions: (Execution | null)[][];
  incarnations: number[];
  /** Whether the key is remembered by each sidecar, and whether its run has ended. */
  memory: ('none' | 'running' | 'ended')[];
  links: ModelLink[][];
  /** Runs of each submission. */
  runs: number[];
  /** Everything that was granted so far is older than what sidecars keep. */
  aged: boolean;
  left: { closes: number; sidecarRestarts: number; routerRestarts: number; expiries: number };
}

interface Step {
  name: string;
  next: State;
}

/** How often each disturbance may come; two submissions leave room for fewer. */
const BUDGETS: Record<RequestKind, State['left']> = {
  [RequestKind.Once]: { closes: 2, sidecarRestarts: 1, routerRestarts: 1, expiries: 1 },
  [RequestKind.Keyed]: { closes: 1, sidecarRestarts: 1, routerRestarts: 1, expiries: 0 },
  [RequestKind.Repeatable]: { closes: 1, sidecarRestarts: 1, routerRestarts: 1, expiries: 1 },
};

function initialState(kind: RequestKind): State {
  const openLink = (): ModelLink => ({
    routerOpen: true,
    sidecarOpen: true,
    grants: [],
    toRouter: [],
  });
  return {
    lives: [null, null],
    answers: [null, null],
    executions: SIDECARS.map(() => [null, null]),
    incarnations: [0, 0],
    memory: ['none', 'none'],
    links: ROUTERS.map(() => SIDECARS.map(openLink)),
    runs: [0, 0],
    aged: kind === RequestKind.Keyed,
    left: BUDGETS[kind],
  };
}

/** Routers that take part: without a key only one has the request. */
function routersOf(kind: RequestKind): number[] {
  return kind === RequestKind.Keyed ? ROUTERS : [0];
}

/** Sidecars that take part: a key is pinned to one. */
function sidecarsOf(kind: RequestKind): number[] {
  return kind === RequestKind.Keyed ? [0] : SIDECARS;
}

/** All steps that can follow a state. */
class Explorer {
  private readonly kind: RequestKind;
  private readonly state: State;
  private readonly steps: Step[] = [];

  constructor(kind: RequestKind, state: State) {
    this.kind = kind;
    this.state = state;
  }

  list(): Step[] {
    for (const router of routersOf(this.kind)) {
      this.submit(router);
      this.expire(router);
      this.restartRouter(router);
      for (const sidecar of sidecarsOf(this.kind)) this.listPath(router, sidecar);
    }
    sidecarsOf(this.kind).forEach((sidecar) => this.restartSidecar(sidecar));
    if (!this.state.aged) this.add('age', (next) => (next.aged = true));
    return this.steps;
  }

  private listPath(router: number, sidecar: number): void {
    this.grant(router, sidecar);
    this.deliverGrant(router, sidecar);
    this.finish(router, sidecar);
    this.deliverToRouter(router, sidecar);
    this.closeEnds(router, sidecar);
    this.reconnect(router, sidecar);
    this.passGrace(router, sidecar);
    this.forget(router, sidecar);
  }

  private add(name: string, change: (next: State) => void): void {
    const next = JSON.parse(JSON.stringify(this.state)) as State;
    change(next);
    this.steps.push({ name, next });
  }

  private submit(router: number): void {
    if (this.state.lives[router] !== null || this.state.answers[router] !== null) return;
    if (router === 1 && (this.kind !== RequestKind.Keyed || this.state.lives[0] === null)) return;
    this.add(`submit ${router}`, (next) => {
      next.lives[router] = createRequestState(this.kind === RequestKind.Repeatable);
    });
  }

  private grant(router: number, sidecar: number): void {
    const life = this.state.lives[router];
    const link = linkOf(this.state, router, sidecar);
    if (life?.phase !== RequestPhase.Queued || !link.routerOpen || !link.sidecarOpen) return;
    if (this.kind === RequestKind.Keyed && sidecar !== 0) return;
    this.add(`grant ${router} ${sidecar}`, (next) => {
      const granted = grantAttempt(life, holderOf(next, sidecar));
      next.lives[router] = granted;
      linkOf(next, router, sidecar).grants.push(granted.attempt);
    });
  }

  private deliverGrant(router: number, sidecar: number): void {
    const link = linkOf(this.state, router, sidecar);
    if (!link.sidecarOpen || link.grants.length === 0) return;
    this.add(`deliver grant ${router} ${sidecar}`, (next) => {
      const attempt = linkOf(next, router, sidecar).grants.shift() ?? 0;
      startOrRefuse(this.kind, next, router, sidecar, attempt);
    });
    // With two submissions, a refusal is left to the other kinds: it would double the states.
    if (this.kind === RequestKind.Keyed) return;
    this.add(`refuse grant ${router} ${sidecar}`, (next) => {
      const attempt = linkOf(next, router, sidecar).grants.shift() ?? 0;
      const incarnation = next.incarnations[sidecar] ?? 0;
      const refusal = { kind: 'refuse', verdict: Verdict.NotRun, attempt, incarnation } as const;
      linkOf(next, router, sidecar).toRouter.push(refusal);
    });
  }

  private finish(router: number, sidecar: number): void {
    const execution = this.state.executions[sidecar]?.[router];
    if (execution?.ended !== false) return;
    this.add(`finish ${router} ${sidecar}`, (next) => {
      if (next.memory[sidecar] === 'running') next.memory[sidecar] = 'ended';
      // Whoever waits under the same key gets the end at the same time.
      const all = this.kind === RequestKind.Keyed ? ROUTERS : [router];
      all.forEach((each) => endExecution(next, each, sidecar));
    });
  }

  private deliverToRouter(router: number, sidecar: number): void {
    const link = linkOf(this.state, router, sidecar);
    if (!link.routerOpen || link.toRouter.length === 0) return;
    this.add(`deliver to router ${router} ${sidecar}`, (next) => {
      const message = linkOf(next, router, sidecar).toRouter.shift();
      if (message !== undefined) receive(next, router, sidecar, message);
    });
  }

  private closeEnds(router: number, sidecar: number): void {
    const { routerOpen, sidecarOpen } = linkOf(this.state, router, sidecar);
    // The end that is left open notices the silence sooner or later, so its close is not counted.
    const cost = routerOpen && sidecarOpen ? 1 : 0;
    if (this.state.left.closes < cost) return;
    if (routerOpen) {
      this.add(`router closes ${router} ${sidecar}`, (next) => {
        next.left.closes -= cost;
        closeAtRouter(linkOf(next, router, sidecar));
      });
    }
    if (!sidecarOpen) return;
    this.add(`sidecar closes ${router} ${sidecar}`, (next) => {
      next.left.closes -= cost;
      closeAtSidecar(linkOf(next, router, sidecar));
    });
  }

  /** A new link: the sidecar lists what it holds, and the router settles what is missing. */
  private reconnect(router: number, sidecar: number): void {
    if (linkOf(this.state, router, sidecar).sidecarOpen) return;
    this.add(`reconnect ${router} ${sidecar}`, (next) => {
      const fresh = { routerOpen: true, sidecarOpen: true, grants: [], toRouter: [] };
      const row = next.links[router];
      if (row !== undefined) row[sidecar] = fresh;
      resume(next, router, sidecar);
    });
  }

  private passGrace(router: number, sidecar: number): void {
    const life = this.state.lives[router];
    if (life?.phase !== RequestPhase.Granted) return;
    if (linkOf(this.state, router, sidecar).routerOpen) return;
    if (life.sidecar?.host !== String(sidecar)) return;
    this.add(`grace passes ${router} ${sidecar}`, (next) =>
      settle(next, router, AttemptLoss.SidecarGone),
    );
  }

  private expire(router: number): void {
    const life = this.state.lives[router];
    if (life === null || life === undefined || life.phase === RequestPhase.Ended) return;
    if (this.state.left.expiries === 0) return;
    this.add(`expire ${router}`, (next) => {
      next.left.expiries -= 1;
      next.answers[router] = computeUnfinishedVerdict(life);
      next.lives[router] = endRequest(life);
    });
  }

  private restartRouter(router: number): void {
    if (this.state.left.routerRestarts === 0) return;
    this.add(`restart router ${router}`, (next) => {
      next.left.routerRestarts -= 1;
      const life = next.lives[router];
      if (life?.phase !== RequestPhase.Ended && life !== null) {
        next.answers[router] = AnswerKind.Broken;
        next.lives[router] = null;
      }
      SIDECARS.forEach((sidecar) => closeAtRouter(linkOf(next, router, sidecar)));
    });
  }

  private restartSidecar(sidecar: number): void {
    if (this.state.left.sidecarRestarts === 0) return;
    this.add(`restart sidecar ${sidecar}`, (next) => {
      next.left.sidecarRestarts -= 1;
      next.incarnations[sidecar] = (next.incarnations[sidecar] ?? 0) + 1;
      next.executions[sidecar] = [null, null];
      next.memory[sidecar] = 'none';
      ROUTERS.forEach((router) => closeAtSidecar(linkOf(next, router, sidecar)));
    });
  }

  /** A sidecar forgets an ended execution after its time; the key stays in its memory. */
  private forget(router: number, sidecar: number): void {
    if (!this.state.aged || this.state.executions[sidecar]?.[router]?.ended !== true) return;
    this.add(`forget ${router} ${sidecar}`, (next) => setExecution(next, router, sidecar, null));
  }
}

function startOrRefuse(
  kind: RequestKind,
  next: State,
  router: number,
  sidecar: number,
  attempt: number,
): void {
  const incarnation = next.incarnations[sidecar] ?? 0;
  const memory = next.memory[sidecar];
  if (kind !== RequestKind.Keyed || (memory === 'none' && incarnation === 0)) {
    next.runs[router] = (next.runs[router] ?? 0) + 1;
    if (kind === RequestKind.Keyed) next.memory[sidecar] = 'running';
    setExecution(next, router, sidecar, { attempt, ended: false });
    return;
  }
  if (memory === 'none') {
    // The sidecar started after the key was made.
    const refusal = { kind: 'refuse', verdict: Verdict.MayHaveRun, attempt, incarnation } as const;
    linkOf(next, router, sidecar).toRouter.push(refusal);
    return;
  }
  setExecution(next, router, sidecar, { attempt, ended: false });
  if (memory === 'ended') endExecution(next, router, sidecar);
}

function endExecution(next: State, router: number, sidecar: number): void {
  const execution = next.executions[sidecar]?.[router];
  if (execution?.ended !== false) return;
  execution.ended = true;
  const link = linkOf(next, router, sidecar);
  const incarnation = next.incarnations[sidecar] ?? 0;
  if (link.sidecarOpen)
    link.toRouter.push({ kind: 'end', attempt: execution.attempt, incarnation });
}

function receive(next: State, router: number, sidecar: number, message: ToRouter): void {
  const life = next.lives[router];
  const sender = { host: String(sidecar), incarnation: String(message.incarnation) };
  if (life === null || life === undefined || !isCurrentAttempt(life, sender, message.attempt))
    return;
  if (message.kind === 'refuse' && message.verdict === Verdict.NotRun) {
    settle(next, router, AttemptLoss.NeverStarted);
    return;
  }
  next.answers[router] =
    message.kind === 'end' ? AnswerKind.Whole : combineVerdicts(life, message.verdict);
  next.lives[router] = endRequest(life);
}

function resume(next: State, router: number, sidecar: number): void {
  const life = next.lives[router];
  const execution = next.executions[sidecar]?.[router];
  const sender = holderOf(next, sidecar);
  const isHeld =
    life !== null &&
    life !== undefined &&
    execution !== null &&
    execution !== undefined &&
    isCurrentAttempt(life, sender, execution.attempt);
  if (isHeld) {
    const { attempt, ended } = execution;
    const incarnation = next.incarnations[sidecar] ?? 0;
    if (ended) linkOf(next, router, sidecar).toRouter.push({ kind: 'end', attempt, incarnation });
    return;
  }
  if (life?.phase !== RequestPhase.Granted || life.sidecar?.host !== sender.host) return;
  const grantAgeMs = next.aged ? MAX_TRUSTED_GRANT_AGE_MS : 0;
  settle(next, router, classifyMissingAttempt(life, { sender, grantAgeMs, expired: false }));
}

function settle(next: State, router: number, loss: AttemptLoss): void {
  const current = next.lives[router];
  if (current === null || current === undefined) return;
  const { state, decision } = settleLostAttempt(current, loss);
  next.lives[router] = state;
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

function linkOf(state: State, router: number, sidecar: number): ModelLink {
  const link = state.links[router]?.[sidecar];
  if (link === undefined) throw new Error('no such link');
  return link;
}

function holderOf(state: State, sidecar: number): SidecarInstance {
  return { host: String(sidecar), incarnation: String(state.incarnations[sidecar] ?? 0) };
}

function setExecution(next: State, router: number, sidecar: number, held: Execution | null): void {
  const row = next.executions[sidecar];
  if (row !== undefined) row[router] = held;
}

function checkState(kind: RequestKind, state: State): string | undefined {
  const runs = state.runs.reduce((sum, count) => sum + count, 0);
  if (kind !== RequestKind.Repeatable && runs > 1) return 'ran twice';
  for (const router of ROUTERS) {
    const answer = state.answers[router];
    if (answer === Verdict.NotRun && (state.runs[router] ?? 0) > 0) return 'not-run, but it ran';
    if (answer === AnswerKind.Whole && runs === 0) return 'answered without a run';
  }
  return undefined;
}

/** A state without further steps but those that only age it must have answered every submission. */
function isUnanswered(state: State): boolean {
  return ROUTERS.some((router) => state.lives[router] !== null && state.answers[router] === null);
}

interface Exploration {
  states: number;
  problem: string | undefined;
}

function explore(kind: RequestKind): Exploration {
  const first = initialState(kind);
  const seen = new Set([JSON.stringify(first)]);
  const frontier: { state: State; trace: string[] }[] = [{ state: first, trace: [] }];
  for (let entry = frontier.pop(); entry !== undefined; entry = frontier.pop()) {
    const steps = new Explorer(kind, entry.state).list();
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

describe('the life of a request, explored exhaustively', () => {
  for (const kind of Object.values(RequestKind)) {
    it(`keeps its promises in every interleaving of a request that is ${kind}`, () => {
      const { states, problem } = explore(kind);
      expect(problem).to.equal(undefined);
      console.log(`      ${states} states of a request that is ${kind}`);
    });
  }
});
