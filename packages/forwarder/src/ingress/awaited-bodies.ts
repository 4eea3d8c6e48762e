/**
 * Reads the bodies of requests. A request that is refused in any case is refused at its head, and one whose time is over
 * before its body is whole then. During a planned stop, a request whose body is still awaited is refused as soon as
 * what is left of the grace can't hold it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HoldingKind } from '@poplarpick/decisions';
import { BodyReader } from '@poplarpick/fleet/body-reader';
import type { Holding } from '@poplarpick/fleet/listening/memory-budget';
import {
  createLateBodyError,
  createNoMemoryError,
  REQUEST_BYTES,
} from '@poplarpick/fleet/listening/request-holding';
import { ErrorCode, RequestError, toRequestError, Verdict } from '@poplarpick/kernel';
import type { RouterState } from '../router-state.ts';
import { callDeadlineAt } from '../calls/call-deadline.ts';
import { checkCall, createStopError, findRoute, toStopCandidate } from './call-checks.ts';

/** A request whose head has arrived. */
export interface ArrivedRequest {
  request: IncomingMessage;
  /** Its end is the end of the request. */
  response: ServerResponse;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
}

/** A request that was read whole, with what is held for it. */
export interface ReadRequest {
  body: Buffer | undefined;
  holding: Holding;
}

/** The bodies that one router awaits. */
export class AwaitedBodies {
  private readonly state: RouterState;
  private readonly readers = new Map<BodyReader, ArrivedRequest>();

  constructor(state: RouterState) {
    this.state = state;
  }

  /**
   * Reads a complete body; there may be none. What is held for the request is released when its response closes. Rejects
   * if the body is too large, incomplete or late, or if the request is refused.
   */
  async read(arrived: ArrivedRequest): Promise<ReadRequest> {
    const { request, response } = arrived;
    const { budget } = this.state.listeners;
    const holding = budget.open({
      kind: HoldingKind.AwaitedBody,
      owner: request.socket.remoteAddress ?? '',
      onYield: () => reader.giveUp(createNoMemoryError()),
    });
    const reader = new BodyReader(request, {
      limitBytes: this.state.callerLimits.bodyBytes,
      createTooLargeError,
      budget,
      holding,
    });
    response.once('close', () => holding.release());
    this.readers.set(reader, arrived);
    // What came together with the head has been parsed by then: an ordinary request is whole.
    queueMicrotask(() => this.checkAwaited(arrived, reader, holding));
    try {
      if (!holding.hold(REQUEST_BYTES)) throw createNoMemoryError();
      const body = await reader.read();
      holding.become(HoldingKind.ServedRequest);
      return { body, holding };
    } catch (error) {
      holding.release();
      throw error;
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

  /** Refuses a request whose body is awaited if it is refused whatever its body is, or once its time is over. */
  private checkAwaited(arrived: ArrivedRequest, reader: BodyReader, holding: Holding): void {
    const { request, arrivedAt } = arrived;
    if (request.complete || !this.readers.has(reader)) return;
    const { protocol, clock } = this.state;
    const { method = 'GET', url = '/', rawHeaders } = request;
    try {
      const head = protocol.decodeCall(method, url, rawHeaders);
      const { route, workspace } = checkCall(head, this.state, clock.monotonic());
      if (workspace !== undefined) holding.become(HoldingKind.AwaitedBody, workspace);
      const leftMs = Math.max(0, callDeadlineAt(head, route, arrivedAt) - clock.monotonic());
      const timer = clock.after(leftMs, () => reader.giveUp(createLateBodyError()));
      request.once('close', () => timer.stop());
    } catch (error) {
      reader.giveUp(toRequestError(error, Verdict.NotRun));
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
