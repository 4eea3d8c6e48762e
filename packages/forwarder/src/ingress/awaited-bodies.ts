/**
 * Reads the bodies of requests. During a planned stop, a request whose body is still awaited is refused as soon as
 * what is left of the grace can't hold it.
 */
import type { IncomingMessage } from 'node:http';
import { BodyReader } from '@poplarpick/fleet/body-reader';
import { ErrorCode, RequestError, toRequestError, Verdict } from '@poplarpick/kernel';
import type { RouterState } from '../router-state.ts';
import { createStopError, findRoute, toStopCandidate } from './call-checks.ts';

/** A request whose head has arrived. */
export interface ArrivedRequest {
  request: IncomingMessage;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
}

/** The bodies that one router awaits. */
export class AwaitedBodies {
  private readonly state: RouterState;
  private readonly readers = new Map<BodyReader, ArrivedRequest>();

  constructor(state: RouterState) {
    this.state = state;
  }

  /** Reads a complete body; undefined without one. Rejects if it is too large or incomplete, or refused. */
  async read(arrived: ArrivedRequest): Promise<Buffer | undefined> {
    const reader = new BodyReader(arrived.request, {
      limitBytes: this.state.callerLimits.bodyBytes,
      createTooLargeError,
    });
    this.readers.set(reader, arrived);
    try {
      return await reader.read();
    } finally {
      this.readers.delete(reader);
    }
  }

  /** Refuses the requests that what is left of a planned stop can't hold. */
  refuseUnfitting(): void {
    for (const [reader, arrived] of this.readers) {
      try {
        if (!this.fitsStop(arrived)) reader.giveUp(createStopError());
      } catch (error) {
        reader.giveUp(toRequestError(error, Verdict.NotRun));
      }
    }
  }

  /** Throws if the head can't be decoded. */
  private fitsStop({ request, arrivedAt }: ArrivedRequest): boolean {
    const { protocol, routes, stop } = this.state;
    const { method = 'GET', url = '/', rawHeaders } = request;
    const head = protocol.decodeCall(method, url, rawHeaders);
    const route = routes === undefined ? undefined : findRoute(head, routes);
    // A request without a route is refused in any case.
    return route !== undefined && stop.canHold(toStopCandidate(head, route, arrivedAt));
  }
}

function createTooLargeError(): RequestError {
  return new RequestError('the body is too large', {
    code: ErrorCode.BodyTooLarge,
    verdict: Verdict.NotRun,
  });
}
