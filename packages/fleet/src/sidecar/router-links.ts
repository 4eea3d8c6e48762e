/** Links of a sidecar to routers: what it resumes on a new link, and what it cancels there. */
import type { Peer } from '../link/link-hub.ts';
import { CallMethod } from '../messages.ts';
import type { AttemptReference, ResumeResult } from '../messages.ts';
import type { AnswerSender } from './answer-sender.ts';
import type { Claimer } from './claimer.ts';
import type { ExecutionRegistry } from './execution-registry.ts';

/** Options of a `RouterLinks`. */
export interface RouterLinksOptions {
  executions: ExecutionRegistry;
  claimer: Claimer;
  answerSender: AnswerSender;
  /** Cancels an execution that its router no longer wants. */
  cancel: (reference: AttemptReference) => void;
  /** Called with what a router says of the executions that it was offered. */
  onResumeAnswered: (peer: Peer, answer: ResumeResult) => void;
}

/** Offers each router that joins the executions that it has granted. */
export class RouterLinks {
  private readonly options: RouterLinksOptions;
  private resumeSequence = 0;

  constructor(options: RouterLinksOptions) {
    this.options = options;
  }

  add(peer: Peer): void {
    this.cancelOrphanedExecutions(peer);
    const held = this.options.executions.listAttemptsOf(peer);
    this.resumeSequence += 1;
    this.options.answerSender.addRouter(peer);
    this.options.claimer.addRouter(peer);
    peer.link
      .call(CallMethod.Resume, { sequence: this.resumeSequence, held })
      .then((answer) => this.options.onResumeAnswered(peer, answer))
      .catch(() => peer.link.close('resume failed'));
  }

  /** Cancels what the router has dropped, and sends the rest of the answers that it still wants. */
  resume(peer: Peer, answer: ResumeResult): void {
    const { answerSender, executions } = this.options;
    if (!answerSender.isCurrentPeer(peer)) return;
    for (const reference of answer.drop) this.options.cancel(reference);
    answerSender.resume(peer, answer, (reference) => executions.find(reference));
  }

  remove(peer: Peer): void {
    this.options.claimer.removeRouter(peer);
    this.options.answerSender.removeRouter(peer);
  }

  /** Cancels what an earlier incarnation of a router granted, since its callers' connections were lost. */
  private cancelOrphanedExecutions(peer: Peer): void {
    for (const execution of this.options.executions.list()) {
      if (execution.router !== peer.host || execution.routerIncarnation === peer.incarnation)
        continue;
      this.options.cancel({ request: execution.id, attempt: execution.grant.attempt });
    }
  }
}
