/**
 * A TCP proxy that stands in a path between two processes and can spoil it. Connections that are open
 * when a fault begins stay open where the fault allows it, as on a real network.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { parseAddress } from '@poplarpick/fleet';

/** Ways to spoil a path. */
export enum Fault {
  None = 'none',
  /** New connections are refused and open ones closed. */
  Cut = 'cut',
  /** Open connections are reset; new ones work. */
  Reset = 'reset',
  /** Open connections go silent both ways for good; new ones work. */
  HalfOpen = 'half-open',
  /** Nothing passes either way, on open and on new connections. */
  Silence = 'silence',
  /** Nothing passes from the dialling side. */
  SilenceForward = 'silence-forward',
  /** Nothing passes to the dialling side. */
  SilenceBackward = 'silence-backward',
  /** Everything passes late. */
  Latency = 'latency',
  /** Bytes pass a few at a time. */
  Drip = 'drip',
}

/** Direction of bytes through the proxy. */
enum Direction {
  Forward,
  Backward,
}

/** Options of a `FaultProxy`. */
export interface FaultProxyOptions {
  /** Where connections go. */
  target: string;
  latencyMs?: number;
}

const DEFAULT_LATENCY_MS = 200;
const DRIP_BYTES = 64;
const DRIP_PERIOD_MS = 20;
const CLOSING_FAULTS = new Set([Fault.Cut, Fault.Reset]);

/** One connection through the proxy. */
class ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  /** Set for good by a half-open fault. */
  silenced = false;
  private readonly faultNow: () => Fault;
  private readonly latencyMs: number;
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(near: Socket, far: Socket, faultNow: () => Fault, latencyMs: number) {
    this.near = near;
    this.far = far;
    this.faultNow = faultNow;
    this.latencyMs = latencyMs;
    this.pipe(near, far, Direction.Forward);
    this.pipe(far, near, Direction.Backward);
  }

  close(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.near.destroy();
    this.far.destroy();
  }

  reset(): void {
    this.near.resetAndDestroy();
    this.far.resetAndDestroy();
  }

  private pipe(from: Socket, to: Socket, direction: Direction): void {
    from.on('data', (bytes: Buffer) => this.pass(bytes, to, direction));
    from.on('error', () => undefined);
    from.on('close', () => {
      if (!this.silenced && !isSilent(this.faultNow(), direction)) to.destroy();
    });
  }

  private pass(bytes: Buffer, to: Socket, direction: Direction): void {
    const fault = this.faultNow();
    if (this.silenced || isSilent(fault, direction)) return;
    if (fault === Fault.Latency) this.later(this.latencyMs, () => to.write(bytes));
    else if (fault === Fault.Drip) this.drip(bytes, to);
    else to.write(bytes);
  }

  private drip(bytes: Buffer, to: Socket): void {
    for (let start = 0; start < bytes.length; start += DRIP_BYTES) {
      const part = bytes.subarray(start, start + DRIP_BYTES);
      this.later((start / DRIP_BYTES) * DRIP_PERIOD_MS, () => to.write(part));
    }
  }

  private later(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMs);
    this.timers.add(timer);
  }
}

/** Forwards connections to a target and spoils them on demand. */
export class FaultProxy {
  private readonly options: FaultProxyOptions;
  private readonly server: Server;
  private readonly connections = new Set<ProxiedConnection>();
  private current = Fault.None;
  private bound = '';

  constructor(options: FaultProxyOptions) {
    this.options = options;
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Address that takes the place of the target's. */
  get address(): string {
    return this.bound;
  }

  get fault(): Fault {
    return this.current;
  }

  /** Begins a fault, or ends one with `Fault.None`. */
  set fault(fault: Fault) {
    this.current = fault;
    for (const connection of this.connections) {
      if (fault === Fault.Cut) connection.close();
      if (fault === Fault.Reset) connection.reset();
      if (fault === Fault.HalfOpen) connection.silenced = true;
    }
    if (fault === Fault.Reset || fault === Fault.HalfOpen) this.current = Fault.None;
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () => resolve());
    });
    this.bound = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    return this;
  }

  stop(): void {
    this.server.close();
    this.connections.forEach((connection) => connection.close());
  }

  private accept(near: Socket): void {
    if (CLOSING_FAULTS.has(this.current)) {
      near.destroy();
      return;
    }
    const { ip, port } = parseAddress(this.options.target);
    // Without it Nagle's algorithm holds a small write back until the delayed acknowledgement of the last.
    const far = connect({ host: ip, port, noDelay: true });
    const latencyMs = this.options.latencyMs ?? DEFAULT_LATENCY_MS;
    const connection = new ProxiedConnection(near, far, () => this.current, latencyMs);
    this.connections.add(connection);
    near.once('close', () => {
      if (connection.far.destroyed) this.connections.delete(connection);
    });
    far.once('close', () => {
      if (connection.near.destroyed) this.connections.delete(connection);
    });
  }
}

function isSilent(fault: Fault, direction: Direction): boolean {
  if (fault === Fault.Silence) return true;
  if (fault === Fault.SilenceForward) return direction === Direction.Forward;
  return fault === Fault.SilenceBackward && direction === Direction.Backward;
}
