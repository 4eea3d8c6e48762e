/**
 * Maintains one outgoing link to a remote address. Reconnects with exponential backoff and jitter when
 * the link is lost or dialling fails.
 */
import type { Socket } from 'node:net';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { parseAddress } from '../address.ts';
import type { Transport } from '../trust/transport.ts';
import { Link } from './link.ts';
import type { LinkTraffic } from './link.ts';

const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Options of a `LinkDialler`. */
export interface LinkDiallerOptions {
  address: string;
  clock: Clock;
  log: Logger;
  traffic: LinkTraffic;
  transport: Transport;
  /** Called with each new link before any message is received on it. */
  onOpen: (link: Link, socket: Socket) => void;
  onClose: (link: Link, reason: string) => void;
  /** Whether the process needs a link to the host; while it does not, no connection is attempted. */
  isLinkNeeded?: () => boolean;
  /** Random number in [0, 1) for jitter. */
  random?: () => number;
}

/** Dials an address until it is stopped, starting when it is constructed. */
export class LinkDialler {
  private readonly options: LinkDiallerOptions;
  private readonly random: () => number;
  private link: Link | undefined;
  private retryTimer: Timer | undefined;
  private retryDelayMs = MIN_RETRY_DELAY_MS;
  private stopped = false;

  constructor(options: LinkDiallerOptions) {
    this.options = options;
    this.random = options.random ?? Math.random;
    this.dial();
  }

  /** Whether a link that this dialler opened is still open. */
  get hasOpenLink(): boolean {
    return this.link !== undefined;
  }

  /** Stops dialling. An open link stays open until its owner closes it. */
  stopDialling(): void {
    this.stopped = true;
    this.retryTimer?.stop();
  }

  /** Resumes dialling after `stopDialling`; otherwise does nothing. */
  resumeDialling(): void {
    if (!this.stopped) return;
    this.stopped = false;
    if (this.link === undefined) this.scheduleDial();
  }

  /** Stops dialling and closes the link. */
  stop(): void {
    this.stopped = true;
    this.retryTimer?.stop();
    this.link?.close('no longer wanted');
  }

  private dial(): void {
    if (this.options.isLinkNeeded?.() === false) {
      this.scheduleDial();
      return;
    }
    const { ip, port } = parseAddress(this.options.address);
    const onFailure = () => this.scheduleDial();
    const socket = this.options.transport.connect({ host: ip, port }, (connected) => {
      timeout.stop();
      connected.off('close', onFailure);
      this.openLink(connected);
    });
    const timeout = this.options.clock.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.once('close', () => timeout.stop());
    socket.once('error', () => undefined);
    socket.once('close', onFailure);
  }

  private openLink(socket: Socket): void {
    if (this.stopped) {
      socket.destroy();
      return;
    }
    const { clock, log, traffic } = this.options;
    this.retryDelayMs = MIN_RETRY_DELAY_MS;
    this.link = new Link({
      socket,
      clock,
      log,
      traffic,
      onClose: (link, reason) => this.handleClose(link, reason),
    });
    this.options.onOpen(this.link, socket);
  }

  private handleClose(link: Link, reason: string): void {
    this.link = undefined;
    this.options.onClose(link, reason);
    this.scheduleDial();
  }

  private scheduleDial(): void {
    if (this.stopped) return;
    const delay = this.retryDelayMs * (0.5 + this.random());
    this.retryDelayMs = Math.min(this.retryDelayMs * 2, MAX_RETRY_DELAY_MS);
    this.retryTimer = this.options.clock.after(delay, () => this.dial());
  }
}
