/**
 * A link: one TCP connection between two processes that carries JSON-RPC in both directions. Both
 * sides send application-level heartbeats. A link on which nothing is received is closed, so that its
 * owner reconnects instead of waiting for TCP to detect the failure.
 */
import type { Socket } from 'node:net';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0';
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { FrameDecoder, FrameEncoder, MAX_FRAME_BYTES } from './frame-codec.ts';
import { CallMethod, NotificationMethod, PAYLOAD_NOTIFICATIONS } from '../messages.ts';
import type { CallTypes, NotificationTypes } from '../messages.ts';

/** Interval between the heartbeats of one side. */
export const HEARTBEAT_PERIOD_MS = 500;

/** Time without any received bytes after which the link is closed. */
export const HEARTBEAT_TIMEOUT_MS = 1_600;

/**
 * Time since the previous check of the heartbeats after which a check is late. The process itself was suspended
 * then, and may not have read what the other side has sent.
 */
const LATE_CHECK_MS = 2 * HEARTBEAT_PERIOD_MS;

/** Largest frame from a process that hasn't said who it is, in bytes. */
const MAX_HELLO_BYTES = 16_384;

/** Timeout of a call. */
const CALL_TIMEOUT_MS = 5_000;

/** Methods whose messages a test may drop, since their senders tolerate the loss of any one of them. */
const DROPPABLE_METHODS: ReadonlySet<string> = new Set([
  NotificationMethod.Heartbeat,
  NotificationMethod.Members,
  CallMethod.Probe,
  CallMethod.CompareMembers,
]);

/** Traffic counters of all links of a process; the first three count what was sent. */
export interface LinkTraffic {
  controlBytes: number;
  controlMessages: number;
  payloadBytes: number;
  receivedControlBytes: number;
  receivedControlMessages: number;
  receivedPayloadBytes: number;
}

/** Options of a `Link`. */
export interface LinkOptions {
  socket: Socket;
  clock: Clock;
  log: Logger;
  /** Counters that all links of the process share. */
  traffic: LinkTraffic;
  /** Called once when the link has closed, for any reason. */
  onClose: (link: Link, reason: string) => void;
}

/** Creates traffic counters that start at zero. */
export function createLinkTraffic(): LinkTraffic {
  return {
    controlBytes: 0,
    controlMessages: 0,
    payloadBytes: 0,
    receivedControlBytes: 0,
    receivedControlMessages: 0,
    receivedPayloadBytes: 0,
  };
}

/** One connection to another process, whichever side dialled it. */
export class Link {
  /** Address of the other side as `IP:port`, for logs. */
  readonly remote: string;
  private readonly socket: Socket;
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly traffic: LinkTraffic;
  private readonly onClose: (link: Link, reason: string) => void;
  private readonly rpc: JSONRPCServerAndClient;
  private readonly encoder = new FrameEncoder();
  private readonly decoder = new FrameDecoder();
  private readonly heartbeatTimer: Timer;
  private readonly inbox: (JSONRPCRequest | JSONRPCResponse)[] = [];
  /** Whether the rest of the inbox is to be dispatched in the next iteration of the event loop. */
  private isDrainScheduled = false;
  private lastReceivedAt: number;
  private lastSentAt = -Infinity;
  private lastCheckedAt: number;
  private closed = false;
  private shouldDrop: (() => boolean) | undefined;
  /** Whether messages other than the hello and heartbeats are accepted. */
  private admitted = true;

  constructor(options: LinkOptions) {
    this.socket = options.socket;
    this.clock = options.clock;
    this.log = options.log;
    this.traffic = options.traffic;
    this.onClose = options.onClose;
    this.remote = `${this.socket.remoteAddress ?? '?'}:${this.socket.remotePort ?? 0}`;
    this.rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({ errorListener: (message, data) => this.logHandlerError(message, data) }),
      new JSONRPCClient((payload: JSONRPCRequest) => this.send(payload)),
    );
    this.lastReceivedAt = this.clock.monotonic();
    this.lastCheckedAt = this.lastReceivedAt;
    this.handleNotification(NotificationMethod.Heartbeat, () => undefined);
    this.heartbeatTimer = this.clock.every(HEARTBEAT_PERIOD_MS, () => this.checkHeartbeat());
    this.attachSocketListeners();
  }

  /** Time since anything was received, in milliseconds. */
  get idleMs(): number {
    return this.clock.monotonic() - this.lastReceivedAt;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Drops outgoing heartbeats and membership messages while `shouldDrop` returns true. Only for tests. */
  simulateMessageLoss(shouldDrop: () => boolean): void {
    this.shouldDrop = shouldDrop;
  }

  /** Rejects everything but the hello and heartbeats until `admit` is called. */
  requireHello(): void {
    this.admitted = false;
    this.decoder.limitBytes = MAX_HELLO_BYTES;
  }

  /** Accepts all messages, after the peer's hello has been verified. */
  admit(): void {
    this.admitted = true;
    this.decoder.limitBytes = MAX_FRAME_BYTES;
  }

  /** Registers the handler of a call. */
  handleCall<Method extends CallMethod>(
    method: Method,
    handler: (
      params: CallTypes[Method]['params'],
    ) => CallTypes[Method]['result'] | Promise<CallTypes[Method]['result']>,
  ): void {
    this.rpc.addMethod(method, handler as (params: unknown) => unknown);
  }

  /** Registers the handler of a notification. */
  handleNotification<Method extends NotificationMethod>(
    method: Method,
    handler: (params: NotificationTypes[Method]) => void,
  ): void {
    this.rpc.addMethod(method, (params: NotificationTypes[Method]) => {
      handler(params);
      return null;
    });
  }

  /** Calls the other side. Rejects if the call fails or times out, or the link closes. */
  async call<Method extends CallMethod>(
    method: Method,
    params: CallTypes[Method]['params'],
  ): Promise<CallTypes[Method]['result']> {
    if (this.closed) throw new Error('link is closed');
    return this.rpc.timeout(CALL_TIMEOUT_MS).request(method, params) as Promise<
      CallTypes[Method]['result']
    >;
  }

  /** Sends a notification, or drops it if the link is closed. */
  notify<Method extends NotificationMethod>(
    method: Method,
    params: NotificationTypes[Method],
  ): void {
    if (this.closed) return;
    this.send({ jsonrpc: '2.0', method, params });
  }

  /** Closes the link and rejects pending calls. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.heartbeatTimer.stop();
    this.socket.destroy();
    this.rpc.rejectAllPendingRequests(`link closed: ${reason}`);
    this.onClose(this, reason);
  }

  private attachSocketListeners(): void {
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk: Buffer) => this.receive(chunk));
    this.socket.on('error', (error) => this.close(error.message));
    this.socket.on('close', () => this.close('closed by the other side'));
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedAt = this.clock.monotonic();
    try {
      for (const { value, bytes } of this.decoder.push(chunk)) {
        const message = value as JSONRPCRequest | JSONRPCResponse;
        this.countReceived(message, bytes);
        this.inbox.push(message);
      }
      if (!this.isDrainScheduled) this.drainInbox();
    } catch (error) {
      this.close(error instanceof Error ? error.message : 'unreadable frame');
    }
  }

  /**
   * Dispatches messages in order of arrival. A response reaches its caller only after several promise
   * callbacks, so the messages after it are deferred to the next iteration of the event loop; otherwise
   * a notification could overtake it.
   */
  private drainInbox(): void {
    this.isDrainScheduled = false;
    for (let message = this.inbox.shift(); message !== undefined; message = this.inbox.shift()) {
      if (this.closed) return;
      this.dispatch(message);
      if ('method' in message || this.inbox.length === 0) continue;
      this.isDrainScheduled = true;
      setImmediate(() => this.drainInbox());
      return;
    }
  }

  private dispatch(message: JSONRPCRequest | JSONRPCResponse): void {
    if (!this.admitted && !isAllowedBeforeHello(message)) {
      this.close('no hello');
      return;
    }
    this.rpc.receiveAndSend(message).catch((error: unknown) => {
      // The link may have closed before the response was sent; the message itself is not at fault.
      if (this.closed) return;
      this.log.warn({
        event: 'link.bad_message',
        remote: this.remote,
        error: describeError(error),
      });
    });
  }

  private send(message: JSONRPCRequest | JSONRPCResponse): void {
    if (this.closed) throw new Error('link is closed');
    if (
      'method' in message &&
      DROPPABLE_METHODS.has(message.method) &&
      this.shouldDrop?.() === true
    )
      return;
    const frame = this.encoder.encode(message);
    this.countSent(message, frame.length);
    this.socket.write(frame);
    this.lastSentAt = this.clock.monotonic();
  }

  private countSent(message: JSONRPCRequest | JSONRPCResponse, bytes: number): void {
    if (isPayloadMessage(message)) {
      this.traffic.payloadBytes += bytes;
      return;
    }
    this.traffic.controlBytes += bytes;
    this.traffic.controlMessages += 1;
  }

  private countReceived(message: JSONRPCRequest | JSONRPCResponse, bytes: number): void {
    if (isPayloadMessage(message)) {
      this.traffic.receivedPayloadBytes += bytes;
      return;
    }
    this.traffic.receivedControlBytes += bytes;
    this.traffic.receivedControlMessages += 1;
  }

  private checkHeartbeat(): void {
    const now = this.clock.monotonic();
    const isLate = now - this.lastCheckedAt > LATE_CHECK_MS;
    this.lastCheckedAt = now;
    if (!isLate && now - this.lastReceivedAt > HEARTBEAT_TIMEOUT_MS) {
      this.close('silent');
      return;
    }
    // Any message sent recently serves as a heartbeat.
    if (now - this.lastSentAt < HEARTBEAT_PERIOD_MS / 2) return;
    this.notify(NotificationMethod.Heartbeat, {});
  }

  private logHandlerError(message: string, data: unknown): void {
    this.log.error({
      event: 'link.handler_failed',
      remote: this.remote,
      message,
      error: describeError(data),
    });
  }
}

/** Whether a message is accepted before the hello has been verified. */
function isAllowedBeforeHello(message: unknown): boolean {
  const { method } = message as { method?: unknown };
  return method === CallMethod.Hello || method === NotificationMethod.Heartbeat;
}

/** Whether a message counts as payload, because it carries a request or a part of an answer. */
function isPayloadMessage(message: JSONRPCRequest | JSONRPCResponse): boolean {
  if ('method' in message) return PAYLOAD_NOTIFICATIONS.has(message.method);
  const result = message.result as { grant?: unknown } | null | undefined;
  return result?.grant !== undefined;
}
