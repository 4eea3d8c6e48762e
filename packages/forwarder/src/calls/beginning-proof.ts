/**
 * Proves that the process which began a stream is the one that its endpoint's entry named. Lists of endpoints that are
 * complete for some time after the connection was opened prove it at no cost. The first stream of a newer connection
 * asks the process. Where the proof is needed before, the process is asked again; if that has ended meanwhile, the list
 * has to do, unless that takes too long.
 */
import type { Endpoint, StreamOrigin } from '@poplarpick/decisions';
import type { EndpointRequest } from '../endpoints/endpoint-request.ts';
import { ProcessFinding } from '../endpoints/process-finding.ts';
import type { RouterState } from '../router-state.ts';
import { FRESH_LIST_MS } from '../streams/stream-origins.ts';

/** Longest wait until a list of endpoints could prove the process, in ms. */
const MAX_LIST_WAIT_MS = 1_500;

/** Longest wait for a confirmation of the list of endpoints once it would prove the process, in ms. */
const MAX_CONFIRMATION_WAIT_MS = 400;

/** Options of a `BeginningProof`. */
export interface BeginningProofOptions {
  state: Pick<RouterState, 'clock' | 'streams' | 'endpoints'>;
  /** The endpoint as it was listed when the request was sent. */
  endpoint: Endpoint;
  /** The origin of the stream, if the process is the one that the entry named. */
  origin: StreamOrigin;
  request: EndpointRequest;
}

/** The proof for one stream. */
export class BeginningProof {
  readonly endpoint: Endpoint;
  readonly origin: StreamOrigin;
  private readonly options: BeginningProofOptions;
  private result: Promise<boolean> | undefined;

  constructor(options: BeginningProofOptions) {
    this.options = options;
    this.endpoint = options.endpoint;
    this.origin = options.origin;
  }

  /** Whether the process is proved by now. */
  get isProved(): boolean {
    return this.options.request.isProved;
  }

  /** Whether the process should be asked while it lives, since the list of endpoints is too old to prove it soon. */
  get isUrgent(): boolean {
    return this.options.state.streams.confirmations.ageMs > FRESH_LIST_MS;
  }

  /** Asks the process while it lives, so that its end leaves the proof. */
  async askEarly(): Promise<void> {
    await this.options.request.askEarly();
  }

  /** Resolves to whether the process is proved. */
  prove(): Promise<boolean> {
    this.result ??= this.find();
    return this.result;
  }

  private async find(): Promise<boolean> {
    const { request } = this.options;
    if (request.isProved) return true;
    const early = await request.askEarly();
    if (request.isProved) return true;
    const isFinal = early === ProcessFinding.Other || early === ProcessFinding.Unnamed;
    const finding = isFinal ? early : await request.askProcess();
    if (finding !== ProcessFinding.Other && !request.isProved) await this.waitForList();
    return request.isProved;
  }

  private async waitForList(): Promise<void> {
    const { state, request, endpoint } = this.options;
    const { clock, streams, endpoints } = state;
    const { provableAt } = request;
    const waitMs = provableAt - clock.monotonic();
    if (waitMs > MAX_LIST_WAIT_MS) return;
    if (waitMs > 0) await new Promise<void>((resolve) => clock.after(waitMs, resolve));
    if (endpoints.find(endpoint.id)?.endpoint.startedAt !== endpoint.startedAt) return;
    await streams.confirmations.waitSince(provableAt, MAX_CONFIRMATION_WAIT_MS);
  }
}
