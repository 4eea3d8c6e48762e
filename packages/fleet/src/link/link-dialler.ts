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

const FIRST_DELAY_MS = 50;
const LONGEST_DELAY_MS = 1_000;
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
  private retry: Timer | undefined;
  private delayMs = FIRST_DELAY_MS;
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
    this.retry?.stop();
  }

  /** Dials again, where it had been told not to. */
  resumeDialling(): void {
    if (!this.stopped) return;
    this.stopped = false;
    if (this.link === undefined) this.dialLater();
  }

  /** Closes the link and dials no more. */
  stop(): void {
    this.stopped = true;
    this.retry?.stop();
    this.link?.close('no longer wanted');
  }

  private dial(): void {
    if (this.options.isLinkNeeded?.() === false) {
      this.dialLater();
      return;
    }
    const { ip, port } = parseAddress(this.options.address);
    const onFailure = () => this.dialLater();
    const socket = this.options.transport.connect({ host: ip, port }, (ready) => {
      timeout.stop();
      ready.off('close', onFailure);
      this.open(ready);
    });
    const timeout = this.options.clock.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.once('close', () => timeout.stop());
    socket.once('error', () => undefined);
    socket.once('close', onFailure);
  }

  private open(socket: Socket): void {
    if (this.stopped) {
      socket.destroy();
      return;
    }
    const { clock, log, traffic } = this.options;
    this.delayMs = FIRST_DELAY_MS;
    this.link = new Link({
      socket,
      clock,
      log,
      traffic,
      onClose: (link, reason) => this.lose(link, reason),
    });
    this.options.onOpen(this.link, socket);
  }

  private lose(link: Link, reason: string): void {
    this.link = undefined;
    this.options.onClose(link, reason);
    this.dialLater();
  }

  private dialLater(): void {
    if (this.stopped) return;
    const delay = this.delayMs * (0.5 + this.random());
    this.delayMs = Math.min(this.delayMs * 2, LONGEST_DELAY_MS);
    this.retry = this.options.clock.after(delay, () => this.dial());
  }
}
