/**
 * A TCP proxy between two processes that injects network faults. Connections that are open when a
 * fault begins stay open unless the fault closes them, as on a real network.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { parseAddress } from '@poplarpick/fleet';

/** Network faults that the proxy can inject. */
export enum Fault {
  None = 'none',
  /** Open connections are closed and new ones are refused. */
  Cut = 'cut',
  /** Open connections are reset; new ones work. */
  Reset = 'reset',
  /** Open connections stop forwarding in both directions for good; new ones work. */
  HalfOpen = 'half-open',
  /** Nothing is forwarded in either direction, on open and new connections. */
  Silence = 'silence',
  /** Nothing is forwarded from the connecting side to the target. */
  SilenceForward = 'silence-forward',
  /** Nothing is forwarded from the target to the connecting side. */
  SilenceBackward = 'silence-backward',
  /** All bytes are delayed by `latencyMs`. */
  Latency = 'latency',
  /** Bytes are forwarded in small pieces with a pause between them. */
  Drip = 'drip',
}

/** Direction of bytes through the proxy. */
enum Direction {
  /** From the connecting side to the target. */
  Forward,
  /** From the target to the connecting side. */
  Backward,
}

/** Options of a `FaultProxy`. */
export interface FaultProxyOptions {
  /** Address (ip:port) that connections are forwarded to. */
  target: string;
  /** Delay of `Fault.Latency` in each direction. */
  latencyMs?: number;
  /** Whether a reset of one side becomes a reset of the other; an orderly close by default. */
  passesResets?: boolean;
}

const DEFAULT_LATENCY_MS = 200;
const DRIP_BYTES = 64;
const DRIP_PERIOD_MS = 20;
const REFUSING_FAULTS = new Set([Fault.Cut, Fault.Reset]);

/** How one side of a connection ended. */
enum ConnectionEnd {
  Close,
  Reset,
}

/** Bytes waiting to be forwarded, or the end of the stream. */
interface QueuedChunk {
  content: Buffer | ConnectionEnd;
  releaseAt: number;
}

/** Options of a `OneWayRelay`. */
interface OneWayRelayOptions {
  from: Socket;
  to: Socket;
  direction: Direction;
  getFault: () => Fault;
  latencyMs: number;
  passesResets: boolean;
}

/**
 * Forwards one direction of a connection. As with TCP, bytes keep their order whatever faults begin or
 * end. Bytes held back during a silence are forwarded when it ends, followed by the end of the stream.
 */
class OneWayRelay {
  /** Set by `Fault.HalfOpen` and never cleared; nothing is forwarded any more. */
  silenced = false;
  private readonly options: OneWayRelayOptions;
  private queue: QueuedChunk[] = [];
  private lastReleaseAt = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: OneWayRelayOptions) {
    const { from, to } = options;
    this.options = options;
    from.on('data', (bytes: Buffer) => this.accept(bytes));
    from.on('error', () => undefined);
    from.on('close', (hasError) => {
      const isReset = hasError && options.passesResets;
      this.enqueue(isReset ? ConnectionEnd.Reset : ConnectionEnd.Close, 0);
    });
    to.on('drain', () => from.resume());
  }

  /** Forwards all chunks that are due and schedules the next, unless the current fault blocks them. */
  sendDue(): void {
    clearTimeout(this.timer);
    const { to, direction, getFault } = this.options;
    if (this.silenced || isBlocked(getFault(), direction)) return;
    const now = performance.now();
    while (this.queue[0] !== undefined && this.queue[0].releaseAt <= now) {
      this.deliver(this.queue.shift(), to);
    }
    const next = this.queue[0];
    if (next !== undefined) this.timer = setTimeout(() => this.sendDue(), next.releaseAt - now);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.queue = [];
  }

  private accept(bytes: Buffer): void {
    const fault = this.options.getFault();
    if (fault === Fault.Drip) this.enqueuePieces(bytes);
    else this.enqueue(bytes, fault === Fault.Latency ? this.options.latencyMs : 0);
  }

  private enqueuePieces(bytes: Buffer): void {
    for (let start = 0; start < bytes.length; start += DRIP_BYTES) {
      this.lastReleaseAt = Math.max(this.lastReleaseAt, performance.now()) + DRIP_PERIOD_MS;
      this.enqueue(bytes.subarray(start, start + DRIP_BYTES), 0);
    }
  }

  private enqueue(content: Buffer | ConnectionEnd, delayMs: number): void {
    this.lastReleaseAt = Math.max(performance.now() + delayMs, this.lastReleaseAt);
    this.queue.push({ content, releaseAt: this.lastReleaseAt });
    this.sendDue();
  }

  private deliver(chunk: QueuedChunk | undefined, to: Socket): void {
    if (chunk === undefined || to.destroyed) return;
    const { content } = chunk;
    if (content === ConnectionEnd.Reset) to.resetAndDestroy();
    else if (content === ConnectionEnd.Close) to.destroySoon();
    else if (!to.write(content)) this.options.from.pause();
  }
}

/** A client connection and its upstream connection, relayed in both directions. */
class ProxiedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  private readonly relays: OneWayRelay[];

  constructor(
    clientSocket: Socket,
    targetSocket: Socket,
    options: Pick<OneWayRelayOptions, 'getFault' | 'latencyMs' | 'passesResets'>,
  ) {
    this.clientSocket = clientSocket;
    this.targetSocket = targetSocket;
    this.relays = [
      new OneWayRelay({
        ...options,
        from: clientSocket,
        to: targetSocket,
        direction: Direction.Forward,
      }),
      new OneWayRelay({
        ...options,
        from: targetSocket,
        to: clientSocket,
        direction: Direction.Backward,
      }),
    ];
  }

  /** Stops forwarding in both directions for good, without closing the sockets. */
  silence(): void {
    this.relays.forEach((relay) => (relay.silenced = true));
  }

  sendDue(): void {
    this.relays.forEach((relay) => relay.sendDue());
  }

  close(): void {
    this.relays.forEach((relay) => relay.stop());
    this.clientSocket.destroy();
    this.targetSocket.destroy();
  }

  reset(): void {
    this.relays.forEach((relay) => relay.stop());
    this.clientSocket.resetAndDestroy();
    this.targetSocket.resetAndDestroy();
  }
}

/** Forwards TCP connections to a target and injects the fault that is set. */
export class FaultProxy {
  private readonly options: FaultProxyOptions;
  private readonly server: Server;
  private readonly connections = new Set<ProxiedConnection>();
  private currentFault = Fault.None;
  private boundAddress = '';

  constructor(options: FaultProxyOptions) {
    this.options = options;
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Address (ip:port) to connect to instead of the target's; empty before `start`. */
  get address(): string {
    return this.boundAddress;
  }

  get fault(): Fault {
    return this.currentFault;
  }

  /** Begins a fault, or ends the current one with `Fault.None`. */
  set fault(fault: Fault) {
    this.currentFault = fault;
    for (const connection of this.connections) {
      if (fault === Fault.Cut) connection.close();
      if (fault === Fault.Reset) connection.reset();
      if (fault === Fault.HalfOpen) connection.silence();
    }
    if (fault === Fault.Reset || fault === Fault.HalfOpen) this.currentFault = Fault.None;
    this.connections.forEach((connection) => connection.sendDue());
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () => resolve());
    });
    this.boundAddress = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    return this;
  }

  stop(): void {
    this.server.close();
    this.connections.forEach((connection) => connection.close());
  }

  private accept(clientSocket: Socket): void {
    if (REFUSING_FAULTS.has(this.currentFault)) {
      clientSocket.destroy();
      return;
    }
    const { ip, port } = parseAddress(this.options.target);
    // Without `noDelay`, Nagle's algorithm holds a small write until the delayed ACK of the previous.
    const targetSocket = connect({ host: ip, port, noDelay: true });
    const { latencyMs = DEFAULT_LATENCY_MS, passesResets = false } = this.options;
    const getFault = (): Fault => this.currentFault;
    const options = { getFault, latencyMs, passesResets };
    const connection = new ProxiedConnection(clientSocket, targetSocket, options);
    this.connections.add(connection);
    clientSocket.once('close', () => {
      if (connection.targetSocket.destroyed) this.connections.delete(connection);
    });
    targetSocket.once('close', () => {
      if (connection.clientSocket.destroyed) this.connections.delete(connection);
    });
  }
}

function isBlocked(fault: Fault, direction: Direction): boolean {
  if (fault === Fault.Silence) return true;
  if (fault === Fault.SilenceForward) return direction === Direction.Forward;
  return fault === Fault.SilenceBackward && direction === Direction.Backward;
}
