/**
 * The routers that a sidecar is linked to, and the frames on their way to them. Nothing is sent to a
 * router before it has answered the resumption on its link, since only then is it known from where each
 * answer goes on. Frames that are ready at the same moment go in one notice.
 */
import type { Peer } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';
import type { AnswerEnd, AnswerFrame, ResumeResult } from '../messages.ts';
import type { Execution } from './execution.ts';

/** Options of an `AnswerSender`. */
export interface AnswerSenderOptions {
  /** Called when frames wait to be sent; `flush` is to be called soon. */
  onFramesQueued: () => void;
}

/** Sends answers to routers. */
export class AnswerSender {
  private readonly onWaiting: () => void;
  private readonly peers = new Map<string, Peer>();
  private readonly resumedPeers = new Set<Peer>();
  private readonly queuedFrames = new Map<string, AnswerFrame[]>();

  constructor(options: AnswerSenderOptions) {
    this.onWaiting = options.onFramesQueued;
  }

  addRouter(peer: Peer): void {
    this.peers.set(peer.host, peer);
  }

  removeRouter(peer: Peer): void {
    this.resumedPeers.delete(peer);
    if (!this.isCurrentPeer(peer)) return;
    this.peers.delete(peer.host);
    this.queuedFrames.delete(peer.host);
  }

  isCurrentPeer(peer: Peer): boolean {
    return this.peers.get(peer.host) === peer;
  }

  /** Sends what a router lacks of the answers that it wants to go on with. */
  resume(
    peer: Peer,
    answer: ResumeResult,
    find: (reference: { request: string; attempt: number }) => Execution | undefined,
  ): void {
    this.resumedPeers.add(peer);
    for (const { request, attempt, from } of answer.resume) {
      const execution = find({ request, attempt });
      if (execution === undefined) continue;
      peer.link.notify(NotificationMethod.Frames, { frames: execution.framesFrom(from) });
      if (execution.end !== undefined) peer.link.notify(NotificationMethod.End, execution.end);
    }
  }

  /** Sends a frame soon; where the router is away, the execution keeps it. */
  sendFrame(execution: Execution, frame: AnswerFrame): void {
    if (this.findResumedPeer(execution) === undefined) return;
    const queued = this.queuedFrames.get(execution.router) ?? [];
    queued.push(frame);
    this.queuedFrames.set(execution.router, queued);
    this.onWaiting();
  }

  /** Sends an end after the frames before it. */
  sendEnd(execution: Execution, end: AnswerEnd): void {
    this.flush();
    this.findResumedPeer(execution)?.link.notify(NotificationMethod.End, end);
  }

  flush(): void {
    for (const [router, frames] of this.queuedFrames) {
      this.peers.get(router)?.link.notify(NotificationMethod.Frames, { frames });
    }
    this.queuedFrames.clear();
  }

  /** The router of an execution, if it is linked and has resumed. */
  private findResumedPeer(execution: Execution): Peer | undefined {
    const peer = this.peers.get(execution.router);
    if (peer?.incarnation !== execution.routerIncarnation) return undefined;
    return this.resumedPeers.has(peer) ? peer : undefined;
  }
}
