/**
 * Claims of one sidecar: which workspace its next free slot goes to, and from which router the request
 * is claimed. Answers come back to the admission, which owns the claimer.
 */
import { FairShare, findWeight } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import type { LogEvent } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod } from '../messages.ts';
import type { Backlog, ClaimAnswer, ClaimLine, Grant } from '../messages.ts';
import { BacklogView } from './backlog-view.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Why a workspace was preferred, for `explain`. */
export interface ClaimChoice {
  workspace: string;
  /** Fleet-wide cost over weight, as this sidecar knew it. */
  service: number;
  /** The workspace that would have been next. */
  next?: string | undefined;
  nextService?: number | undefined;
  /** Number of workspaces that had requests waiting. */
  backlogged: number;
  /** Configuration by which was chosen. */
  revision?: number | undefined;
  preset?: string | undefined;
}

/** The answer to one claim, with what was asked. */
export interface AnsweredClaim {
  peer: Peer;
  choice: ClaimChoice;
  lines: ClaimLine[];
  answer: ClaimAnswer;
}

/** Options of a `Claimer`. */
export interface ClaimerOptions {
  meter: ServiceMeter;
  /** Called when a claim is answered or has failed, outside of the owner's task. */
  onAnswer: (claim: AnsweredClaim) => void;
}

/** Claims requests for free slots. */
export class Claimer {
  private readonly options: ClaimerOptions;
  private readonly fairShare = new FairShare();
  private readonly backlog = new BacklogView();
  private readonly routers = new Map<string, Peer>();
  private configuration: FleetConfiguration | undefined;
  private outstanding = 0;

  constructor(options: ClaimerOptions) {
    this.options = options;
  }

  /** Claims that are sent and not yet answered. */
  get count(): number {
    return this.outstanding;
  }

  configure(configuration: FleetConfiguration): void {
    this.configuration = configuration;
  }

  join(peer: Peer): void {
    this.routers.set(peer.host, peer);
  }

  lose(peer: Peer): void {
    if (this.routers.get(peer.host) !== peer) return;
    this.routers.delete(peer.host);
    this.backlog.remove(peer.host);
  }

  updateBacklog(peer: Peer, backlog: Backlog): void {
    this.backlog.update(peer.host, backlog);
  }

  /** Sends claims until as many are out as there are free slots, or nothing waits. */
  claim(freeSlots: number): void {
    while (this.outstanding < freeSlots) {
      if (!this.claimOne()) return;
    }
  }

  /** Takes an answer in; the grant, unless there is none or it must not be started. */
  settle({ peer, lines, answer }: AnsweredClaim): Grant | undefined {
    this.outstanding -= 1;
    lines.forEach((line) => this.backlog.noteClaim(peer.host, line, -1));
    // After the link is lost the router counts the grant as not started, so it must not start here.
    if (this.routers.get(peer.host) !== peer) return undefined;
    const { grant } = answer;
    if (grant === undefined) {
      this.backlog.noteEmpty(peer.host, lines);
      return undefined;
    }
    const { pool, workspace } = grant.job;
    const line = lines.find((entry) => entry.pool === pool && entry.workspace === workspace);
    if (line !== undefined) this.backlog.noteGrant(peer.host, line);
    return grant;
  }

  /** Claims for the least served workspace; false where nothing waits. */
  private claimOne(): boolean {
    this.fairShare.setBacklogged(this.backlog.workspaces(), (workspace) =>
      this.serviceOf(workspace),
    );
    const ranked = this.fairShare.rank((name) => this.serviceOf(name));
    for (const [index, workspace] of ranked.entries()) {
      const found = this.backlog.findRouter(workspace);
      const peer = found === undefined ? undefined : this.routers.get(found.router);
      if (found === undefined || peer === undefined) continue;
      this.send(peer, found.lines, this.describeChoice(ranked, index));
      return true;
    }
    return false;
  }

  private describeChoice(ranked: readonly string[], index: number): ClaimChoice {
    const [workspace = '', next] = ranked.slice(index);
    return {
      workspace,
      service: this.serviceOf(workspace),
      next,
      nextService: next === undefined ? undefined : this.serviceOf(next),
      backlogged: ranked.length,
      revision: this.configuration?.revision,
      preset: this.configuration?.preset,
    };
  }

  private send(peer: Peer, lines: ClaimLine[], choice: ClaimChoice): void {
    const answered = (answer: ClaimAnswer): void =>
      this.options.onAnswer({ peer, choice, lines, answer });
    this.outstanding += 1;
    lines.forEach((line) => this.backlog.noteClaim(peer.host, line, 1));
    peer.link
      .call(CallMethod.Claim, { lines })
      .then(answered)
      .catch(() => {
        // A grant that is still under way must not be taken later, nor be waited for by the router.
        peer.link.close('claim failed');
        answered({});
      });
  }

  private serviceOf(workspace: string): number {
    const weight = this.configuration === undefined ? 1 : findWeight(this.configuration, workspace);
    return this.options.meter.total(workspace) / weight;
  }
}

/** The event that tells why a request was claimed. */
export function describeClaim({ choice, peer }: AnsweredClaim, grant: Grant): LogEvent {
  return {
    event: 'request.claimed',
    request: grant.request,
    attempt: grant.attempt,
    workspace: grant.job.workspace,
    router: peer.host,
    preferred: choice.workspace,
    service: Math.round(choice.service),
    next: choice.next,
    next_service: choice.nextService === undefined ? undefined : Math.round(choice.nextService),
    backlogged: choice.backlogged,
    revision: choice.revision,
    preset: choice.preset,
  };
}
