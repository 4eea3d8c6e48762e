/**
 * Keeps a resumable stream at the endpoints that may go on with it. A call is free until an endpoint has sent the
 * first event of its stream, and bound to that endpoint's origin from then on. One that resumes a stream is bound
 * from the start.
 */
import { isOfOrigin, originOf, toStreamKeys } from '@poplarpick/decisions';
import type { Endpoint, Route, StreamKeys, StreamOrigin } from '@poplarpick/decisions';
import type { RouterState } from '../router-state.ts';
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
  private isBound: boolean;
  private hasBegun = false;
  /** Undefined until the origin of the stream is recorded. */
  private keys: StreamKeys | undefined;

  constructor(options: StreamBindingOptions) {
    this.options = options;
    this.origin = options.origin;
    this.isBound = options.origin !== undefined;
  }

  /** Whether the call resumes a stream that has broken. */
  get isResumption(): boolean {
    return this.options.origin !== undefined;
  }

  /** Whether an endpoint may serve the call now. */
  allows(endpoint: Endpoint): boolean {
    if (!this.isBound) return true;
    return this.origin !== undefined && isOfOrigin(endpoint, this.origin);
  }

  /** Whether no listed endpoint may go on with the stream, so that coming again doesn't help. */
  get isStranded(): boolean {
    if (!this.isBound) return false;
    for (const { endpoint, availability } of this.options.state.endpoints.all())
      if (!availability.isDraining && this.allows(endpoint)) return false;
    return true;
  }

  /** Records that an endpoint has sent an event of the stream; only the first one counts. */
  recordEvent(endpoint: Endpoint): void {
    const { state, head, route, workspace } = this.options;
    if (this.hasBegun || !route.isResumable) return;
    this.hasBegun = true;
    this.isBound = true;
    this.origin = originOf(endpoint);
    if (this.origin === undefined) return;
    const { prompt, resumedRequestId, requestId } = head;
    this.keys = toStreamKeys({ workspace, requestId: resumedRequestId ?? requestId, prompt });
    state.streams.recordBegun(this.keys, this.origin, route);
  }

  /** Records that the caller has got the whole stream. */
  recordCompleted(): void {
    if (this.keys !== undefined) this.options.state.streams.recordCompleted(this.keys);
  }
}
