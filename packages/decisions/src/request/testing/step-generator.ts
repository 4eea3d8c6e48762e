/** The steps that are possible in a state of the model. */
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss } from '../lost-attempt.ts';
import {
  computeUnfinishedVerdict,
  createRequestState,
  endRequest,
  grantAttempt,
  RequestPhase,
} from '../request-state.ts';
import {
  AnswerKind,
  closeAtRouter,
  closeAtSidecar,
  getLink,
  getSidecarInstance,
  listRouters,
  listSidecars,
  RequestKind,
  ROUTERS,
  setExecution,
  SIDECARS,
} from './model-state.ts';
import type { ModelState } from './model-state.ts';
import { endExecution, receive, resume, settle, startOrRefuse } from './model-transitions.ts';

/** A step that leads from one state to another. */
export interface Step {
  name: string;
  next: ModelState;
}

/** Lists all steps that are possible in a state. */
export class StepGenerator {
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
