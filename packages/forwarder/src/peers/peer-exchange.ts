/** UDP socket of the exchange of reports between routers, and of other messages between them. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { parseAddress } from '@poplarpick/fleet/address';
import type { Timer } from '@poplarpick/kernel';
import type { PeerReport } from './peer-table.ts';
import { REPORT_PERIOD_MS, ReportExchange } from './report-exchange.ts';
import type { ReportExchangeOptions } from './report-exchange.ts';

/** Datagrams that libuv reads from a socket at most each time that the event loop polls. */
const DATAGRAMS_PER_POLL = 32;

/** Polls after which all has been read that lay in the socket at the first one: its buffer holds fewer datagrams. */
const MAX_POLLS = 16;

/** Options of a `PeerExchange`. */
export interface PeerExchangeOptions extends Omit<ReportExchangeOptions, 'transmit'> {
  /** Called with the size of each datagram in bytes. */
  onBytes: (direction: 'sent' | 'received', bytes: number) => void;
  /** Called with each datagram; true if it is another message than a report. By default, none is. */
  acceptMessage?: (message: Buffer, sender: string) => boolean;
}

/** Sends and receives reports over UDP. */
export class PeerExchange {
  private readonly options: PeerExchangeOptions;
  private readonly exchange: ReportExchange;
  private readonly socket: Socket = createSocket('udp4');
  private timer: Timer | undefined;
  private isClosed = false;
  /** Datagrams that were read. */
  private readCount = 0;
  private isReading = false;

  constructor(options: PeerExchangeOptions) {
    this.options = options;
    this.exchange = new ReportExchange({
      ...options,
      transmit: (target, message) => this.transmit(target, message),
    });
  }

  setSeeds(seeds: readonly string[]): void {
    this.exchange.setSeeds(seeds);
  }

  /** Binds the socket and starts to send reports. Rejects when the address can't be bound. */
  async open(): Promise<void> {
    const { ip, port } = parseAddress(this.options.address);
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, ip, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
    this.socket.on('error', (error) => this.exchange.logFailure('peers.socket_failed', error));
    this.socket.on('message', (message, { address, port: senderPort }) => {
      this.readCount += 1;
      this.options.onBytes('received', message.length);
      const sender = `${address}:${senderPort}`;
      if (this.options.acceptMessage?.(message, sender) !== true)
        this.exchange.receive(message, sender);
    });
    this.options.table.recordRead(this.options.clock.monotonic());
    this.timer = this.options.clock.every(REPORT_PERIOD_MS, () => {
      void this.recordRead();
      this.exchange.send();
    });
  }

  close(): void {
    this.isClosed = true;
    this.timer?.stop();
    this.socket.close();
  }

  /** Addresses of the live peers, or of the seeds if there are none. */
  peerAddresses(): string[] {
    return this.exchange.peerAddresses();
  }

  /** Latest reports of the live routers of this data centre. */
  localReports(): PeerReport[] {
    return this.exchange.readLocalReports();
  }

  /** Addresses of all other live routers. */
  routerAddresses(): string[] {
    return this.exchange.routerAddresses();
  }

  /** Addresses of the known routers of a data centre, this one and silent ones included; all if it is undefined. */
  knownRouters(dataCentre?: string): string[] {
    return this.exchange.knownRouters(dataCentre);
  }

  /** Sends a datagram to another router; does nothing once the exchange is closed. */
  transmit(target: string, message: Buffer): void {
    if (this.isClosed) return;
    const { ip, port } = parseAddress(target);
    this.options.onBytes('sent', message.length);
    this.socket.send(message, port, ip, (error) => {
      if (error !== null) this.exchange.logFailure('peers.send_failed', error);
    });
  }

  /**
   * Resolves once all has been read that had come when it was called. After a stall that takes several polls, since
   * much more than one poll reads may lie in the socket.
   */
  async awaitRead(): Promise<void> {
    for (let polls = 0; polls < MAX_POLLS; polls += 1) {
      const countBefore = this.readCount;
      await new Promise(setImmediate);
      if (this.readCount - countBefore < DATAGRAMS_PER_POLL) return;
    }
  }

  /** Tells the table once all has been read that had come until now. */
  private async recordRead(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    const beganAt = this.options.clock.monotonic();
    await this.awaitRead();
    this.options.table.recordRead(beganAt);
    this.isReading = false;
  }
}
