/**
 * Work at one endpoint as one router knows it: what the router itself has sent and what its peers say
 * they have sent. Answers how long a new request would wait for its first event there. Engines admit
 * in order of arrival and read prompts before they write, so the prompt tokens still to be read and
 * the slots that are taken decide; an engine's own report is old when it arrives.
 */

/** What one router has at an endpoint. */
export interface LoadShare {
  /** Requests that were sent and have no first event yet. */
  reading: number;
  /** Prompt tokens that those still have to read. */
  readTokens: number;
  /** Requests past their first event. */
  running: number;
  /** Tokens of prompts and answers that all these hold in the endpoint's memory. */
  heldTokens: number;
}

/** A request at an endpoint. */
export interface SentRequest {
  sentAt: number;
  readTokens: number;
  heldTokens: number;
  hasStarted: boolean;
}

/** Time after which what a peer said no longer counts, in ms: several of its reports are missing then. */
const PEER_SHARE_TTL_MS = 1_000;

const FAILURE_DECAY = 0.85;

/** Failures in a row without any success after which an endpoint counts as broken. */
const BROKEN_FAILURES = 3;

/** Time for which a broken endpoint gets no work but what no other can take, in ms. */
const BROKEN_MS = 1_500;

/** Longest silence of an endpoint that writes events, in ms; events come every few tens of ms. */
const SILENCE_MS = 1_000;

/** The work at one endpoint. */
export class EndpointLoad {
  private readonly sent = new Set<SentRequest>();
  private readonly peers = new Map<string, { share: LoadShare; at: number }>();
  private failureRate = 0;
  private failuresInRow = 0;
  private brokenUntil = Number.NEGATIVE_INFINITY;
  private lastByteAt = Number.NEGATIVE_INFINITY;

  /** Notes a request that is being sent. */
  noteSent(readTokens: number, heldTokens: number, now: number): SentRequest {
    const request = { sentAt: now, readTokens, heldTokens, hasStarted: false };
    this.sent.add(request);
    return request;
  }

  noteStarted(request: SentRequest): void {
    request.hasStarted = true;
  }

  noteEnded(request: SentRequest): void {
    this.sent.delete(request);
  }

  /** Notes that bytes came from the endpoint. */
  noteBytes(now: number): void {
    this.lastByteAt = now;
  }

  noteSuccess(): void {
    this.failuresInRow = 0;
    this.failureRate *= FAILURE_DECAY;
    this.brokenUntil = Number.NEGATIVE_INFINITY;
  }

  /** Notes that the endpoint failed a request or a connection. */
  noteFailure(now: number): void {
    this.failuresInRow += 1;
    this.failureRate = this.failureRate * FAILURE_DECAY + (1 - FAILURE_DECAY);
    if (this.failuresInRow >= BROKEN_FAILURES) this.brokenUntil = now + BROKEN_MS;
  }

  /** Takes what a peer says it has here. */
  notePeer(peer: string, share: LoadShare, now: number): void {
    this.peers.set(peer, { share, at: now });
  }

  /** Share of requests that failed lately. */
  get recentFailures(): number {
    return this.failureRate;
  }

  /** True while the endpoint fails whatever it is sent, or has gone silent in the midst of streams. */
  isBroken(now: number): boolean {
    if (now < this.brokenUntil) return true;
    return this.isSilent(now);
  }

  /** True when streams run here and none has brought a byte for too long. */
  isSilent(now: number): boolean {
    let oldest = Number.POSITIVE_INFINITY;
    for (const request of this.sent) {
      if (request.hasStarted) oldest = Math.min(oldest, request.sentAt);
    }
    return now - Math.max(oldest, this.lastByteAt) > SILENCE_MS;
  }

  /** What this router has here. */
  ownShare(): LoadShare {
    const share: LoadShare = { reading: 0, readTokens: 0, running: 0, heldTokens: 0 };
    for (const request of this.sent) {
      share.heldTokens += request.heldTokens;
      if (request.hasStarted) {
        share.running += 1;
        continue;
      }
      share.reading += 1;
      share.readTokens += request.readTokens;
    }
    return share;
  }

  /** What all routers have here. */
  totalShare(now: number): LoadShare {
    const total = this.ownShare();
    for (const [peer, { share, at }] of this.peers) {
      if (now - at > PEER_SHARE_TTL_MS) {
        this.peers.delete(peer);
        continue;
      }
      total.reading += share.reading;
      total.readTokens += share.readTokens;
      total.running += share.running;
      total.heldTokens += share.heldTokens;
    }
    return total;
  }
}
