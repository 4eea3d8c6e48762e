/**
 * Sends the frames and ends of answers to the linked routers. Nothing is sent to a router before it has
 * answered the resume call on its link, which says from which frame each answer continues. Frames that
 * are queued in the same turn of the event loop are sent in one notification.
 */
import type { Peer } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';
import type { AnswerEnd, AnswerFrame, ResumeResult } from '../messages.ts';
import type { Execution } from './execution.ts';

/** Options of an `AnswerSender`. */
export interface AnswerSenderOptions {
  /** Called when a frame has been queued; the owner must call `flush` soon. */
  onFramesQueued: () => void;
}

/** Sends answers to the routers that granted the requests. */
export class AnswerSender {
  private readonly onFramesQueued: () => void;
  private readonly peers = new Map<string, Peer>();
  private readonly resumedPeers = new Set<Peer>();
  private readonly queuedFrames = new Map<string, AnswerFrame[]>();

  constructor(options: AnswerSenderOptions) {
    this.onFramesQueued = options.onFramesQueued;
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

  /** Sends the missing frames, and the ends, of the answers that a router wants to resume. */
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

  /** Queues a frame, unless its router is away or has not resumed yet. The execution retains it anyway. */
  sendFrame(execution: Execution, frame: AnswerFrame): void {
    if (this.findResumedPeer(execution) === undefined) return;
    const queued = this.queuedFrames.get(execution.router) ?? [];
    queued.push(frame);
    this.queuedFrames.set(execution.router, queued);
    this.onFramesQueued();
  }

  /** Sends an end, after all queued frames. */
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

  /** The router that granted an execution, if it is linked and has answered the resume call. */
  private findResumedPeer(execution: Execution): Peer | undefined {
    const peer = this.peers.get(execution.router);
    if (peer?.incarnation !== execution.routerIncarnation) return undefined;
    return this.resumedPeers.has(peer) ? peer : undefined;
  }
}
