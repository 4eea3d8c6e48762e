/**
 * Chooses the workspace that gets the next free slot of an endpoint, and claims a request of it from a
 * router. Answers are passed to the admission, which owns the claimer.
 */
import { EndpointKind, findPreset } from '@poplarpick/decisions';
import type { ServiceCharge, FleetConfiguration } from '@poplarpick/decisions';
import type { LogEvent } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod } from '../messages.ts';
import type { BacklogUpdate, ClaimResult, ClaimQueue, Grant, Job } from '../messages.ts';
import { BacklogView } from './backlog-view.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Most queues of other workspaces that a claim lists, in case those of the chosen one are empty. */
const MAX_SPARE_QUEUES = 1;

/** Number of unclaimed requests of a workspace in a router from which a claim lists no spare queues. */
const MIN_BACKLOG_WITHOUT_SPARES = 4;

/** Why a workspace was chosen, for the `explain` command. */
export interface ClaimChoice {
  /** Virtual service of the workspace, as known to this sidecar. */
  virtualService: number;
  /** The workspace that was next in order, if any. */
  nextWorkspace?: string | undefined;
  nextVirtualService?: number | undefined;
  /** Revision of the configuration that the choice was based on. */
  revision?: number | undefined;
  preset?: string | undefined;
}

/** A claim that has been sent and not yet answered. */
export interface OutstandingClaim {
  peer: Peer;
  workspace: string;
  /** Queues in order of preference: those of the workspace, then those of others. */
  queues: ClaimQueue[];
  /** Charge that is reserved for the workspace until the answer arrives. */
  charge: number;
  choice: ClaimChoice;
}

/** The answer to one claim. */
export interface AnsweredClaim {
  claim: OutstandingClaim;
  answer: ClaimResult;
}

interface Choice {
  peer: Peer;
  workspace: string;
  /** Whether another workspace is waiting as well. */
  isContested: boolean;
}

/** Options of a `Claimer`. */
export interface ClaimerOptions {
  meter: ServiceMeter;
  /** Whether the totals are fresh enough for a choice. If not, requests them. */
  ensureFreshTotals: () => boolean;
  /** Called outside of the owner's task when a claim has been answered or has failed. */
  onAnswer: (claim: AnsweredClaim) => void;
}

/** Claims requests for free slots. */
export class Claimer {
  private readonly options: ClaimerOptions;
  private readonly backlog = new BacklogView();
  private readonly routers = new Map<string, Peer>();
  private weights = new Map<string, number>();
  private configuration: FleetConfiguration | undefined;
  private fleetSlots = 0;
  private outstanding = 0;

  constructor(options: ClaimerOptions) {
    this.options = options;
  }

  /** Claims that have been sent and not yet answered. */
  get outstandingCount(): number {
    return this.outstanding;
  }

  applyConfiguration(configuration: FleetConfiguration, kind: EndpointKind): void {
    this.configuration = configuration;
    const { weights } = findPreset(configuration);
    this.weights = new Map(configuration.workspaces.map(({ name, weight }) => [name, weight]));
    for (const { workspace, weight } of weights) this.weights.set(workspace, weight);
    const endpoints = configuration.endpoints.filter((endpoint) => endpoint.kind === kind);
    this.fleetSlots = endpoints.reduce((sum, { slots }) => sum + slots, 0);
  }

  addRouter(peer: Peer): void {
    this.routers.set(peer.host, peer);
  }

  removeRouter(peer: Peer): void {
    if (this.routers.get(peer.host) !== peer) return;
    this.routers.delete(peer.host);
    for (const workspace of this.backlog.removeRouter(peer.host)) this.updateWaiting(workspace);
  }

  updateBacklog(peer: Peer, backlog: BacklogUpdate): void {
    if (this.routers.get(peer.host) !== peer) return;
    for (const workspace of this.backlog.update(peer.host, backlog))
      this.updateWaiting(workspace, backlog.full);
  }

  /** Sends claims until there is one per free slot or no unclaimed request is left. */
  claimForFreeSlots(freeSlots: number): void {
    while (this.outstanding < freeSlots) {
      const choice = this.chooseWorkspace();
      if (choice === undefined) return;
      // With a single waiting workspace, fresher totals could not change the choice.
      if (choice.isContested && !this.options.ensureFreshTotals()) return;
      this.sendClaim(choice.peer, choice.workspace);
    }
  }

  /** Applies an answer. Returns its grant, unless there is none or it must not be started. */
  applyAnswer({ claim, answer }: AnsweredClaim): Grant | undefined {
    const { peer, workspace, queues, charge } = claim;
    this.outstanding -= 1;
    this.options.meter.release(workspace, charge);
    for (const queue of queues) {
      if (queue.workspace === workspace) this.backlog.adjustClaimed(peer.host, queue, -1);
    }
    // Once the link is lost, the router treats the grant as never started, so it must not start here.
    if (this.routers.get(peer.host) !== peer) return undefined;
    this.recordCounts(claim, answer);
    return answer.grant;
  }

  /** Opens the charge of a granted request. */
  openCharge({ workspace, costHint }: Job): ServiceCharge {
    return this.options.meter.openCharge({
      workspace,
      weight: this.getWeight(workspace),
      costHint,
    });
  }

  /**
   * Updates the counts of the queues that a claim listed. The router grants from the first queue that is
   * not empty, so those before it are empty. Without a grant, all of them are treated as empty.
   */
  private recordCounts(
    { peer, queues }: OutstandingClaim,
    { grant, left, sequence }: ClaimResult,
  ): void {
    for (const queue of queues) {
      const isGranted =
        grant !== undefined &&
        queue.pool === grant.job.pool &&
        queue.workspace === grant.job.workspace &&
        queue.pinned === grant.pinned;
      const count = isGranted ? (left ?? 0) : 0;
      this.backlog.setCount(peer.host, queue, count, sequence);
      this.updateWaiting(queue.workspace);
      if (isGranted) return;
    }
  }

  /** Finds the least served workspace with an unclaimed request, and a router that has one. */
  private chooseWorkspace(): Choice | undefined {
    const { fairShare, maxCharge } = this.options.meter;
    if (maxCharge > 0) fairShare.maxServiceLead = this.fleetSlots * maxCharge;
    fairShare.forgiveExcessService();
    let choice: Choice | undefined;
    for (const workspace of fairShare.rankWaiting()) {
      const router = this.backlog.findRouter(workspace);
      const peer = router === undefined ? undefined : this.routers.get(router);
      if (peer === undefined) continue;
      if (choice !== undefined) return { ...choice, isContested: true };
      choice = { peer, workspace, isContested: false };
    }
    return choice;
  }

  private sendClaim(peer: Peer, workspace: string): void {
    const { meter, onAnswer } = this.options;
    const queues = this.selectQueues(peer, workspace);
    const choice = this.describeChoice(workspace);
    const charge = meter.reserve(workspace, this.getWeight(workspace));
    const claim = { peer, workspace, queues, charge, choice };
    const handleAnswer = (answer: ClaimResult): void => onAnswer({ claim, answer });
    this.outstanding += 1;
    for (const queue of queues) {
      if (queue.workspace === workspace) this.backlog.adjustClaimed(peer.host, queue, 1);
    }
    peer.link
      .call(CallMethod.Claim, { lines: queues })
      .then(handleAnswer)
      .catch(() => {
        // The answer may still be in transit. Closing the link ensures that its grant is never started
        // and that the router does not wait for it.
        peer.link.close('claim failed');
        handleAnswer({});
      });
  }

  private describeChoice(workspace: string): ClaimChoice {
    const { fairShare } = this.options.meter;
    const nextWorkspace = findNextWorkspace(fairShare.rankWaiting(), workspace);
    return {
      virtualService: fairShare.virtualService(workspace),
      nextWorkspace,
      nextVirtualService:
        nextWorkspace === undefined ? undefined : fairShare.virtualService(nextWorkspace),
      revision: this.configuration?.revision,
      preset: this.configuration?.preset,
    };
  }

  private selectQueues(peer: Peer, workspace: string): ClaimQueue[] {
    const queues = this.backlog.listUnclaimedQueues(peer.host, workspace);
    if (this.backlog.countUnclaimed(peer.host, workspace) >= MIN_BACKLOG_WITHOUT_SPARES)
      return queues;
    const maxQueues = queues.length + MAX_SPARE_QUEUES;
    for (const other of this.options.meter.fairShare.rankWaiting()) {
      if (queues.length >= maxQueues) break;
      if (other !== workspace) queues.push(...this.backlog.listUnclaimedQueues(peer.host, other));
    }
    return queues.slice(0, maxQueues);
  }

  /**
   * Updates whether a workspace is waiting. With `wasWaitingBefore`, its service is not lifted, since the
   * workspace has not just become backlogged.
   */
  private updateWaiting(workspace: string, wasWaitingBefore = false): void {
    const { fairShare } = this.options.meter;
    if (!this.backlog.hasWaiting(workspace)) fairShare.stopWaiting(workspace);
    else if (wasWaitingBefore) fairShare.restoreWaiting(workspace);
    else fairShare.startWaiting(workspace);
  }

  private getWeight(workspace: string): number {
    return this.weights.get(workspace) ?? 1;
  }
}

/** The first workspace in `order` other than the chosen one. */
function findNextWorkspace(order: Iterable<string>, chosen: string): string | undefined {
  for (const workspace of order) if (workspace !== chosen) return workspace;
  return undefined;
}

/** The log event that explains why a request was claimed. */
export function describeClaim({ claim }: AnsweredClaim, grant: Grant): LogEvent {
  const { choice, peer, workspace } = claim;
  return {
    event: 'request.claimed',
    request: grant.request,
    attempt: grant.attempt,
    workspace: grant.job.workspace,
    router: peer.host,
    preferred: workspace,
    service: Math.round(choice.virtualService),
    next: choice.nextWorkspace,
    next_service:
      choice.nextVirtualService === undefined ? undefined : Math.round(choice.nextVirtualService),
    revision: choice.revision,
    preset: choice.preset,
  };
}
