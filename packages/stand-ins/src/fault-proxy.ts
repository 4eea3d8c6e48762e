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

/** Bytes under way, or the end of the stream where there are none. */
interface Parcel {
  bytes: Buffer | undefined;
  releaseAt: number;
}

/** What a lane needs to know of its proxy. */
interface LaneOptions {
  from: Socket;
  to: Socket;
  direction: Direction;
  faultNow: () => Fault;
  latencyMs: number;
}

/**
 * One direction of a connection. Bytes keep their order whatever fault comes or goes, as TCP keeps it:
 * what a silence holds back arrives late when the silence ends, and the end of the stream after it.
 */
class Lane {
  /** Set for good by a half-open fault. */
  silenced = false;
  private readonly options: LaneOptions;
  private queue: Parcel[] = [];
  private lastReleaseAt = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: LaneOptions) {
    const { from, to } = options;
    this.options = options;
    from.on('data', (bytes: Buffer) => this.accept(bytes));
    from.on('error', () => undefined);
    from.on('close', () => this.enqueue(undefined, 0));
    to.on('drain', () => from.resume());
  }

  /** Passes on what may pass now. */
  pump(): void {
    clearTimeout(this.timer);
    const { to, direction, faultNow } = this.options;
    if (this.silenced || isSilent(faultNow(), direction)) return;
    const now = performance.now();
    while (this.queue[0] !== undefined && this.queue[0].releaseAt <= now) {
      this.deliver(this.queue.shift(), to);
    }
    const next = this.queue[0];
    if (next !== undefined) this.timer = setTimeout(() => this.pump(), next.releaseAt - now);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.queue = [];
  }

  private accept(bytes: Buffer): void {
    const fault = this.options.faultNow();
    if (fault === Fault.Drip) this.drip(bytes);
    else this.enqueue(bytes, fault === Fault.Latency ? this.options.latencyMs : 0);
  }

  private drip(bytes: Buffer): void {
    for (let start = 0; start < bytes.length; start += DRIP_BYTES) {
      this.lastReleaseAt = Math.max(this.lastReleaseAt, performance.now()) + DRIP_PERIOD_MS;
      this.enqueue(bytes.subarray(start, start + DRIP_BYTES), 0);
    }
  }

  private enqueue(bytes: Buffer | undefined, delayMs: number): void {
    this.lastReleaseAt = Math.max(performance.now() + delayMs, this.lastReleaseAt);
    this.queue.push({ bytes, releaseAt: this.lastReleaseAt });
    this.pump();
  }

  private deliver(parcel: Parcel | undefined, to: Socket): void {
    if (parcel?.bytes === undefined) {
      to.destroySoon();
      return;
    }
    if (to.destroyed) return;
    if (!to.write(parcel.bytes)) this.options.from.pause();
  }
}

/** One connection through the proxy. */
class ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  private readonly lanes: Lane[];

  constructor(near: Socket, far: Socket, faultNow: () => Fault, latencyMs: number) {
    this.near = near;
    this.far = far;
    const common = { faultNow, latencyMs };
    this.lanes = [
      new Lane({ ...common, from: near, to: far, direction: Direction.Forward }),
      new Lane({ ...common, from: far, to: near, direction: Direction.Backward }),
    ];
  }

  /** Goes silent both ways for good. */
  silence(): void {
    this.lanes.forEach((lane) => (lane.silenced = true));
  }

  pump(): void {
    this.lanes.forEach((lane) => lane.pump());
  }

  close(): void {
    this.lanes.forEach((lane) => lane.stop());
    this.near.destroy();
    this.far.destroy();
  }

  reset(): void {
    this.lanes.forEach((lane) => lane.stop());
    this.near.resetAndDestroy();
    this.far.resetAndDestroy();
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
      if (fault === Fault.HalfOpen) connection.silence();
    }
    if (fault === Fault.Reset || fault === Fault.HalfOpen) this.current = Fault.None;
    this.connections.forEach((connection) => connection.pump());
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
