/**
 * Load and health of one endpoint as seen by one router. The load is the sum of the router's own in-flight
 * requests and of the loads that its peers report. Engines admit requests in order of arrival and prefill
 * prompts before they generate output. The wait of a new request therefore follows from the prompt tokens
 * that await prefill and from the slots in use. Load reports of the engines themselves aren't used, since
 * they are stale on arrival. Both sums are kept up to date with each change, because placement reads them
 * for every endpoint at every request.
 */

/** Totals of the in-flight requests at an endpoint. */
export interface LoadTotals {
  /** Requests that have been sent and have no first event yet. */
  pending: number;
  /** Prompt tokens of the pending requests that await prefill. */
  prefillTokens: number;
  /** Requests past their first event. */
  running: number;
  /** Tokens of prompts and outputs that all in-flight requests occupy in the endpoint's KV cache. */
  kvCacheTokens: number;
}

/** A request that has been sent to the endpoint and hasn't ended. */
export interface InFlightRequest {
  /** Monotonic time of sending, in ms. */
  sentAt: number;
  /** Prompt tokens that the endpoint must prefill. */
  prefillTokens: number;
  /** Tokens of the prompt and the expected output in the endpoint's KV cache. */
  kvCacheTokens: number;
  /** The first event, or the response head of a plain request, has arrived. */
  hasStarted: boolean;
}

/** Time after which a peer's reported load expires, in ms; several of its reports are missing by then. */
const PEER_LOAD_TTL_MS = 1_000;

/** Weight of the previous value in the moving average of failures. */
const FAILURE_DECAY = 0.85;

/** Consecutive failures after which an endpoint counts as unhealthy. */
const UNHEALTHY_FAILURE_COUNT = 3;

/**
 * Time for which an endpoint stays unhealthy after its last failure, in ms. Meanwhile it gets only
 * requests that no other endpoint can take.
 */
const UNHEALTHY_MS = 1_500;

/**
 * Time without a byte after which a streaming endpoint counts as stalled, in ms. Events usually arrive
 * every few tens of ms.
 */
const STALL_TIMEOUT_MS = 1_000;

/** Tracks the load and health of one endpoint. */
export class EndpointLoad {
  private readonly inFlight = new Set<InFlightRequest>();
  /** Sum of `inFlight`. */
  private readonly ownTotals = createTotals();
  private readonly peerLoads = new Map<string, PeerLoad>();
  /** Sum of `peerLoads`. */
  private peerTotals = createTotals();
  /** Earliest time at which one of the peer loads may expire, in ms. */
  private nextExpiryAt = Number.POSITIVE_INFINITY;
  private failureAverage = 0;
  private consecutiveFailures = 0;
  private unhealthyUntil = Number.NEGATIVE_INFINITY;
  private lastByteAt = Number.NEGATIVE_INFINITY;

  /** Records a request that is being sent. Pass the result to `recordStarted` and `recordEnded`. */
  recordSent(prefillTokens: number, kvCacheTokens: number, now: number): InFlightRequest {
    const request = { sentAt: now, prefillTokens, kvCacheTokens, hasStarted: false };
    this.inFlight.add(request);
    addTotals(this.ownTotals, toTotals(request), 1);
    return request;
  }

  recordStarted(request: InFlightRequest): void {
    if (request.hasStarted) return;
    const isInFlight = this.inFlight.has(request);
    if (isInFlight) addTotals(this.ownTotals, toTotals(request), -1);
    request.hasStarted = true;
    if (isInFlight) addTotals(this.ownTotals, toTotals(request), 1);
  }

  recordEnded(request: InFlightRequest): void {
    if (this.inFlight.delete(request)) addTotals(this.ownTotals, toTotals(request), -1);
  }

  /** Records that bytes arrived from the endpoint. */
  recordBytes(now: number): void {
    this.lastByteAt = now;
  }

  /** Monotonic time at which bytes were last received, in ms; -Infinity before the first. */
  get lastReceivedAt(): number {
    return this.lastByteAt;
  }

  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.failureAverage *= FAILURE_DECAY;
    this.unhealthyUntil = Number.NEGATIVE_INFINITY;
  }

  /** Records that a request or a connection to the endpoint failed. */
  recordFailure(now: number): void {
    this.consecutiveFailures += 1;
    this.failureAverage = this.failureAverage * FAILURE_DECAY + (1 - FAILURE_DECAY);
    if (this.consecutiveFailures >= UNHEALTHY_FAILURE_COUNT)
      this.unhealthyUntil = now + UNHEALTHY_MS;
  }

  /** Stores the load that a peer reports for this endpoint, replacing its previous report. */
  applyPeerLoad(peer: string, load: LoadTotals, now: number): void {
    const previous = this.peerLoads.get(peer);
    if (previous !== undefined) addTotals(this.peerTotals, previous.load, -1);
    addTotals(this.peerTotals, load, 1);
    this.peerLoads.set(peer, { load, receivedAt: now });
    this.nextExpiryAt = Math.min(this.nextExpiryAt, now + PEER_LOAD_TTL_MS);
  }

  /** Moving average of the fraction of failed requests, in 0..1. */
  get failureRate(): number {
    return this.failureAverage;
  }

  /**
   * True after several consecutive failures, or while the endpoint's streams are stalled, as far as that is known from
   * what had come by `readAt`: after a stall of this router, their bytes wait in the sockets.
   */
  isUnhealthy(now: number, readAt = now): boolean {
    if (now < this.unhealthyUntil) return true;
    return this.isStalled(readAt);
  }

  /** True if requests have started here and none has received a byte within the stall timeout. */
  isStalled(now: number): boolean {
    if (now - this.lastByteAt <= STALL_TIMEOUT_MS) return false;
    let earliestSentAt = Number.POSITIVE_INFINITY;
    for (const request of this.inFlight) {
      if (request.hasStarted) earliestSentAt = Math.min(earliestSentAt, request.sentAt);
    }
    return now - Math.max(earliestSentAt, this.lastByteAt) > STALL_TIMEOUT_MS;
  }

  /**
   * Forgets what was seen of the process, and what peers report of it, since another one has taken its place. The
   * requests that run stay: they are at the new process, or end soon.
   */
  recordReplaced(): void {
    this.recordSuccess();
    this.failureAverage = 0;
    this.peerLoads.clear();
    this.expirePeerLoads(Number.NEGATIVE_INFINITY);
  }

  /** Load from this router's own requests. */
  ownLoad(): LoadTotals {
    return { ...this.ownTotals };
  }

  /** Load from all routers; `peersReadAt` is the time up to which reports of the others were read. */
  totalLoad(peersReadAt: number): LoadTotals {
    if (peersReadAt > this.nextExpiryAt) this.expirePeerLoads(peersReadAt);
    const total = { ...this.ownTotals };
    addTotals(total, this.peerTotals, 1);
    return total;
  }

  /** Drops expired loads and adds up the others again. */
  private expirePeerLoads(now: number): void {
    this.peerTotals = createTotals();
    this.nextExpiryAt = Number.POSITIVE_INFINITY;
    for (const [peer, { load, receivedAt }] of this.peerLoads) {
      const expiresAt = receivedAt + PEER_LOAD_TTL_MS;
      if (now > expiresAt) {
        this.peerLoads.delete(peer);
        continue;
      }
      addTotals(this.peerTotals, load, 1);
      this.nextExpiryAt = Math.min(this.nextExpiryAt, expiresAt);
    }
  }
}

/** The load that one peer reported, and the monotonic time of its receipt, in ms. */
interface PeerLoad {
  load: LoadTotals;
  receivedAt: number;
}

function createTotals(): LoadTotals {
  return { pending: 0, prefillTokens: 0, running: 0, kvCacheTokens: 0 };
}

/** The part of one request in the totals. */
function toTotals(request: InFlightRequest): LoadTotals {
  const { hasStarted, prefillTokens, kvCacheTokens } = request;
  return hasStarted
    ? { pending: 0, prefillTokens: 0, running: 1, kvCacheTokens }
    : { pending: 1, prefillTokens, running: 0, kvCacheTokens };
}

function addTotals(totals: LoadTotals, load: LoadTotals, factor: 1 | -1): void {
  totals.pending += factor * load.pending;
  totals.prefillTokens += factor * load.prefillTokens;
  totals.running += factor * load.running;
  totals.kvCacheTokens += factor * load.kvCacheTokens;
}
