/**
 * Keeps a resumable stream at the endpoints that may go on with it. A call is free until an endpoint has sent the
 * first event of its stream, and bound to that endpoint's origin from then on. One that resumes a stream is bound
 * from the start. The origin counts once the process that sent the event is proved to be the one that was listed.
 */
import { isOfOrigin, originOf, toStreamKeys, unprovedOrigin } from '@poplarpick/decisions';
import type { Endpoint, Route, StreamKeys, StreamOrigin } from '@poplarpick/decisions';
import type { RouterState } from '../router-state.ts';
import { BeginningProof } from './beginning-proof.ts';
import type { CallAttempt } from './call-attempt.ts';
import type { CallHead } from './call-protocol.ts';

/** Options of a `StreamBinding`. */
export interface StreamBindingOptions {
  state: RouterState;
  head: CallHead;
  route: Route;
  workspace: string | undefined;
  /** Origin of the stream that the call resumes; undefined if it resumes none. */
  origin: StreamOrigin | undefined;
}

/** The binding of one call. */
export class StreamBinding {
  private readonly options: StreamBindingOptions;
  /** Undefined also for a stream that was begun at an endpoint without a known version: it can't go on elsewhere. */
  private origin: StreamOrigin | undefined;
  private isBoundNow: boolean;
  private hasBegun = false;
  /** The proof of the origin, until its result is known. */
  private proof: BeginningProof | undefined;
  /** Called once that is recorded. */
  private onSettled: (() => void) | undefined;
  /** Undefined until the origin of the stream is recorded. */
  private keys: StreamKeys | undefined;

  constructor(options: StreamBindingOptions) {
    this.options = options;
    this.origin = options.origin;
    this.isBoundNow = options.origin !== undefined;
  }

  /** Whether only endpoints of the stream's origin may serve the call. */
  get isBound(): boolean {
    return this.isBoundNow;
  }

  /** Whether the call resumes a stream that has broken. */
  get isResumption(): boolean {
    return this.options.origin !== undefined;
  }

  /** Whether an endpoint may serve the call now. */
  allows(endpoint: Endpoint): boolean {
    if (!this.isBound) return true;
    if (this.origin === undefined || !isOfOrigin(endpoint, this.origin)) return false;
    return this.options.state.endpoints.find(endpoint.id)?.client.isReplaced !== true;
  }

  /** Whether no listed endpoint may go on with the stream, so that coming again doesn't help. */
  get isStranded(): boolean {
    if (!this.isBound) return false;
    for (const { endpoint, availability } of this.options.state.endpoints.all())
      if (!availability.isDraining && this.allows(endpoint)) return false;
    return true;
  }

  /** Records that an endpoint has sent an event of the stream; only the first one counts. */
  recordEvent({ endpoint, request }: Pick<CallAttempt, 'endpoint' | 'request'>): void {
    const { state, head, route, workspace } = this.options;
    if (this.hasBegun || !route.isResumable) return;
    this.hasBegun = true;
    this.isBoundNow = true;
    this.origin = undefined;
    const origin = originOf(endpoint);
    if (origin === undefined || request === undefined) return;
    const { prompt, resumedRequestId, requestId } = head;
    this.keys = toStreamKeys({ workspace, requestId: resumedRequestId ?? requestId, prompt });
    this.proof = new BeginningProof({ state, endpoint, origin, request });
    if (this.proof.isProved) {
      this.settle(true);
      return;
    }
    this.onSettled = state.streams.pending.begin(this.keys);
    void this.proof.askEarly().then(() => this.checkProof());
  }

  /**
   * Called from time to time: checks whether the list of endpoints proves the origin by now. Asks the process if the
   * list is too old for that, before the process ends.
   */
  checkProof(): void {
    if (this.proof?.isProved === true) this.settle(true);
    else if (this.proof?.isUrgent === true) void this.prove();
  }

  /** Calls `action` once it is known where the stream may go on: at once, or after the process was asked. */
  whenProved(action: () => void): void {
    if (this.proof === undefined) action();
    else void this.prove().then(action);
  }

  /** Records that the caller has got the whole stream. */
  recordCompleted(): void {
    // A caller that lost the end takes the stream up all the same.
    this.whenProved(() => {
      if (this.keys !== undefined) this.options.state.streams.recordCompleted(this.keys);
    });
  }

  /** Records that the call has ended; its caller may take the stream up if it isn't whole. */
  recordEnded(): void {
    if (this.proof !== undefined) void this.prove();
  }

  private async prove(): Promise<void> {
    const isProved = await this.proof?.prove();
    if (isProved !== undefined) this.settle(isProved);
  }

  /** Records the origin, or that it isn't proved, so that no router infers one. */
  private settle(isProved: boolean): void {
    const { proof, keys } = this;
    if (proof === undefined || keys === undefined) return;
    this.proof = undefined;
    const { state, route, head } = this.options;
    const { endpoint, origin } = proof;
    this.origin = isProved ? origin : unprovedOrigin(origin.pool);
    state.streams.recordBegun(keys, this.origin, route);
    this.onSettled?.();
    if (isProved) return;
    state.log.info({
      event: 'stream.origin_unproved',
      request: head.requestId,
      endpoint: endpoint.id,
      endpoint_version: endpoint.version,
      endpoint_started_at: endpoint.startedAt,
      endpoints_age_ms: Math.round(state.streams.confirmations.ageMs),
    });
  }
}
