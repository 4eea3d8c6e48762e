/**
 * Work at one endpoint as one router knows it: what the router itself has sent and what its peers say
 * they have sent. Answers how long a new request would wait for its first event there. Engines admit
 * in order of arrival and read prompts before they write, so the prompt tokens still to be read and
 * the slots that are taken decide; an engine's own report is old when it arrives.
 */

/** What one router has at an endpoint. */
export interface LoadTotals {
  /** Requests that were sent and have no first event yet. */
  pending: number;
  /** Prompt tokens that those still have to read. */
  prefillTokens: number;
  /** Requests past their first event. */
  running: number;
  /** Tokens of prompts and answers that all these hold in the endpoint's memory. */
  kvCacheTokens: number;
}

/** A request at an endpoint. */
export interface InFlightRequest {
  sentAt: number;
  prefillTokens: number;
  kvCacheTokens: number;
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
  private readonly sent = new Set<InFlightRequest>();
  private readonly peers = new Map<string, { share: LoadTotals; at: number }>();
  private failureAverage = 0;
  private failuresInRow = 0;
  private brokenUntil = Number.NEGATIVE_INFINITY;
  private lastByteAt = Number.NEGATIVE_INFINITY;

  /** Notes a request that is being sent. */
  recordSent(prefillTokens: number, kvCacheTokens: number, now: number): InFlightRequest {
    const request = { sentAt: now, prefillTokens, kvCacheTokens, hasStarted: false };
    this.sent.add(request);
    return request;
  }

  recordStarted(request: InFlightRequest): void {
    request.hasStarted = true;
  }

  recordEnded(request: InFlightRequest): void {
    this.sent.delete(request);
  }

  /** Notes that bytes came from the endpoint. */
  recordBytes(now: number): void {
    this.lastByteAt = now;
  }

  recordSuccess(): void {
    this.failuresInRow = 0;
    this.failureAverage *= FAILURE_DECAY;
    this.brokenUntil = Number.NEGATIVE_INFINITY;
  }

  /** Notes that the endpoint failed a request or a connection. */
  recordFailure(now: number): void {
    this.failuresInRow += 1;
    this.failureAverage = this.failureAverage * FAILURE_DECAY + (1 - FAILURE_DECAY);
    if (this.failuresInRow >= BROKEN_FAILURES) this.brokenUntil = now + BROKEN_MS;
  }

  /** Takes what a peer says it has here. */
  applyPeerLoad(peer: string, share: LoadTotals, now: number): void {
    this.peers.set(peer, { share, at: now });
  }

  /** Share of requests that failed lately. */
  get failureRate(): number {
    return this.failureAverage;
  }

  /** True while the endpoint fails whatever it is sent, or has gone silent in the midst of streams. */
  isUnhealthy(now: number): boolean {
    if (now < this.brokenUntil) return true;
    return this.isStalled(now);
  }

  /** True when streams run here and none has brought a byte for too long. */
  isStalled(now: number): boolean {
    let oldest = Number.POSITIVE_INFINITY;
    for (const request of this.sent) {
      if (request.hasStarted) oldest = Math.min(oldest, request.sentAt);
    }
    return now - Math.max(oldest, this.lastByteAt) > SILENCE_MS;
  }

  /** What this router has here. */
  ownLoad(): LoadTotals {
    const share: LoadTotals = { pending: 0, prefillTokens: 0, running: 0, kvCacheTokens: 0 };
    for (const request of this.sent) {
      share.kvCacheTokens += request.kvCacheTokens;
      if (request.hasStarted) {
        share.running += 1;
        continue;
      }
      share.pending += 1;
      share.prefillTokens += request.prefillTokens;
    }
    return share;
  }

  /** What all routers have here. */
  totalLoad(now: number): LoadTotals {
    const total = this.ownLoad();
    for (const [peer, { share, at }] of this.peers) {
      if (now - at > PEER_SHARE_TTL_MS) {
        this.peers.delete(peer);
        continue;
      }
      total.pending += share.pending;
      total.prefillTokens += share.prefillTokens;
      total.running += share.running;
      total.kvCacheTokens += share.kvCacheTokens;
    }
    return total;
  }
}
