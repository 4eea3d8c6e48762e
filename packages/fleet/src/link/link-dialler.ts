/**
 * Keeps one link to a remote address: dials, and dials again with jittered, growing delays whenever
 * the link is lost.
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
  /** Called with each new link, before anything has arrived on it. */
  onOpen: (link: Link, socket: Socket) => void;
  onClose: (link: Link, reason: string) => void;
  /** Whether a link is missing; while it is not, the dialler waits. */
  isLinkNeeded?: () => boolean;
  /** Random number in [0, 1) for jitter. */
  random?: () => number;
}

/** Dials an address for as long as it is wanted. */
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

  /** Whether the link that this dialler made is open. */
  get hasOpenLink(): boolean {
    return this.link !== undefined;
  }

  /** Dials no more; an open link stays open until its owner closes it. */
  stopDialling(): void {
    this.stopped = true;
    this.retryTimer?.stop();
  }

  /** Dials again, where it had been told not to. */
  resumeDialling(): void {
    if (!this.stopped) return;
    this.stopped = false;
    if (this.link === undefined) this.scheduleDial();
  }

  /** Closes the link and dials no more. */
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
