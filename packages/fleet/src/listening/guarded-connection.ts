/** One connection of a guarded listener: what it is doing, and what is held for it before its requests are read. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionPhase } from '@poplarpick/decisions';
import type { ConnectionState } from '@poplarpick/decisions';

/** A request and its open response. */
interface OpenExchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Monotonic time at which its head had come, in ms. */
  beganAt: number;
  /** Monotonic time at which its answer was first seen to be complete and unsent, in ms. */
  unsentAt?: number;
}

/** A connection. */
export class GuardedConnection {
  readonly socket: Socket;
  /** Monotonic time of the accept, in ms. */
  readonly acceptedAt: number;
  private readonly exchanges: OpenExchange[] = [];
  private hadRequest = false;
  private isKept = false;
  private onAnswered: (() => void) | undefined;
  /** Monotonic time of the accept, or of the end of the latest response, in ms. */
  private idleSince: number;

  constructor(socket: Socket, now: number) {
    this.socket = socket;
    this.acceptedAt = now;
    this.idleSince = now;
  }

  /** Adds a request whose head has come. */
  add(request: IncomingMessage, response: ServerResponse, clock: { monotonic(): number }): void {
    const exchange: OpenExchange = { request, response, beganAt: clock.monotonic() };
    this.hadRequest = true;
    this.exchanges.push(exchange);
    response.once('close', () => {
      this.exchanges.splice(this.exchanges.indexOf(exchange), 1);
      this.idleSince = clock.monotonic();
      this.checkAnswered();
    });
  }

  /** Keeps the connection whatever comes: its other side is known and uses it as long as it wants. */
  keep(): void {
    this.isKept = true;
  }

  /** Calls `action` once the answers to all whole requests have ended. */
  whenAnswered(action: () => void): void {
    this.onAnswered = action;
    this.checkAnswered();
  }

  private checkAnswered(): void {
    const isDue = ({ request, response }: OpenExchange): boolean =>
      request.complete || response.headersSent;
    if (!this.exchanges.some(isDue)) this.onAnswered?.();
  }

  /** What the connection is doing, and since when. */
  describe(now: number): ConnectionState {
    const [first] = this.exchanges;
    if (this.isKept) return { phase: ConnectionPhase.Serving, since: this.idleSince };
    if (first === undefined) {
      const phase = this.hadRequest ? ConnectionPhase.Idle : ConnectionPhase.New;
      return { phase, since: this.idleSince };
    }
    const { request, response, beganAt } = first;
    if (response.writableEnded) {
      first.unsentAt ??= now;
      return { phase: ConnectionPhase.Unread, since: first.unsentAt };
    }
    if (request.complete || response.headersSent)
      return { phase: ConnectionPhase.Serving, since: beganAt };
    return { phase: ConnectionPhase.Receiving, since: beganAt };
  }
}
