/**
 * Periodic exchange of reports between routers over UDP. Datagrams avoid connections that could hang,
 * and the next report makes up for a lost one. Routers discover each other by gossip: through a few
 * seeds and the peer lists in reports.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { Packr } from 'msgpackr';
import { z } from 'zod';
import { parseAddress } from '@poplarpick/fleet/address';
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import type { WorkspaceUsage } from '@poplarpick/decisions';
import type { CachedSegmentEntry, EndpointLoadEntry, PeerReport, PeerTable } from './peer-table.ts';

/** Period of the reports, in ms; several are sent within the usual time to a first event. */
const REPORT_PERIOD_MS = 100;

/** One report in this many contains the peer list, and also goes to the seeds and all known addresses. */
const REPORTS_PER_PEER_LIST = 10;

/** One report in this many contains the usage of workspaces, whose window is many times longer. */
const REPORTS_PER_WORKSPACE_LIST = 4;

/** Most addresses that are stored, as a bound on faulty reports; no fleet has as many routers. */
const MAX_KNOWN_ADDRESSES = 2_000;

/**
 * Time after which an address that no report names any more is forgotten, in ms. Until then, routers that a
 * partition has kept apart find each other again.
 */
const ADDRESS_TTL_MS = 600_000;

/** Validates a decoded datagram. */
export const peerReportSchema = z.object({
  from: z.string(),
  startedAt: z.number(),
  sequence: z.number(),
  version: z.number(),
  peers: z.array(z.string()).optional(),
  loads: listOf<EndpointLoadEntry>((entry) => isNumbers(entry, 5)),
  workspaces: listOf<WorkspaceUsage>(isWorkspaceUsage).optional(),
  kept: listOf<CachedSegmentEntry>((entry) => isNumbers(entry, 3)),
  lateRates: listOf<[number, number]>((entry) => isNumbers(entry, 2)),
  refused: listOf<number>(Number.isFinite).optional(),
  draining: listOf<number>(Number.isFinite).optional(),
});

/**
 * A list that one function checks. A schema for each entry takes most of the time that a report costs, and
 * the number of reports and the size of each grow with the fleet.
 */
function listOf<Entry>(isEntry: (entry: unknown) => boolean): z.ZodType<Entry[]> {
  return z.custom<Entry[]>((list) => Array.isArray(list) && list.every(isEntry));
}

function isNumbers(entry: unknown, length: number): boolean {
  return Array.isArray(entry) && entry.length === length && entry.every(Number.isFinite);
}

function isWorkspaceUsage(entry: unknown): boolean {
  if (!Array.isArray(entry) || typeof entry[0] !== 'string') return false;
  return isNumbers(entry.slice(1), 3);
}

/** Fields of a report that come from the router's state. */
export type ReportBody = Pick<
  PeerReport,
  'version' | 'loads' | 'workspaces' | 'kept' | 'lateRates' | 'refused' | 'draining'
>;

/** Options of a `PeerExchange`. */
export interface PeerExchangeOptions {
  /** `IP:port` to listen on. */
  address: string;
  clock: Clock;
  log: Logger;
  table: PeerTable;
  /** Builds the fields of a report that come from this router's state. */
  buildReport: (includesWorkspaces: boolean) => ReportBody;
  onReport: (report: PeerReport) => void;
  /** Called with the size of each datagram in bytes. */
  onBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

/** Sends and receives reports. */
export class PeerExchange {
  private readonly options: PeerExchangeOptions;
  private readonly packr = new Packr({ useRecords: false });
  private readonly socket: Socket = createSocket('udp4');
  private readonly startedAt: number;
  private seeds: readonly string[] = [];
  /** Addresses learnt from reports, with the monotonic time of the latest report that named each, in ms. */
  private readonly knownAddresses = new Map<string, number>();
  private sequence = 0;
  private timer: Timer | undefined;
  /** Failed sends; only the first one is logged. */
  private sendFailures = 0;

  constructor(options: PeerExchangeOptions) {
    this.options = options;
    this.startedAt = options.clock.now();
  }

  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds.filter((seed) => seed !== this.options.address);
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
    this.socket.on('error', (error) => this.logFailure('peers.socket_failed', error));
    this.socket.on('message', (message) => this.receive(message));
    this.timer = this.options.clock.every(REPORT_PERIOD_MS, () => this.send());
  }

  close(): void {
    this.timer?.stop();
    this.socket.close();
  }

  /** Addresses of the live peers, or of the seeds if there are none. */
  peerAddresses(): string[] {
    const livePeers = this.livePeerAddresses();
    return livePeers.length > 0 ? livePeers : [...this.seeds];
  }

  private livePeerAddresses(): string[] {
    const { clock, table } = this.options;
    return table.live(clock.monotonic()).map(({ from }) => from);
  }

  private send(): void {
    const { address, buildReport } = this.options;
    const peers = this.livePeerAddresses();
    this.sequence += 1;
    const includesPeers = this.sequence % REPORTS_PER_PEER_LIST === 1;
    if (includesPeers) this.forgetAddresses();
    const targets = new Set(
      includesPeers ? [...peers, ...this.seeds, ...this.knownAddresses.keys()] : peers,
    );
    targets.delete(address);
    if (targets.size === 0) return;
    const report: PeerReport = {
      from: address,
      startedAt: this.startedAt,
      sequence: this.sequence,
      ...(includesPeers ? { peers } : {}),
      ...buildReport(this.sequence % REPORTS_PER_WORKSPACE_LIST === 1),
    };
    const message = this.packr.pack(report);
    for (const target of targets) this.sendTo(target, message);
  }

  private sendTo(target: string, message: Buffer): void {
    const { ip, port } = parseAddress(target);
    this.options.onBytes('sent', message.length);
    this.socket.send(message, port, ip, (error) => {
      if (error === null) return;
      this.sendFailures += 1;
      if (this.sendFailures === 1) this.logFailure('peers.send_failed', error);
    });
  }

  private receive(message: Buffer): void {
    this.options.onBytes('received', message.length);
    const report = this.decode(message);
    if (report === undefined || report.from === this.options.address) return;
    const now = this.options.clock.monotonic();
    for (const peer of report.peers ?? []) this.addAddress(peer, now);
    this.addAddress(report.from, now);
    if (this.options.table.accept(report, now)) this.options.onReport(report);
  }

  private decode(message: Buffer): PeerReport | undefined {
    try {
      return peerReportSchema.parse(this.packr.unpack(message));
    } catch (error) {
      this.logFailure('peers.unreadable_report', error);
      return undefined;
    }
  }

  private addAddress(peer: string, now: number): void {
    if (peer === this.options.address) return;
    if (this.knownAddresses.size >= MAX_KNOWN_ADDRESSES && !this.knownAddresses.has(peer)) return;
    this.knownAddresses.set(peer, now);
  }

  private forgetAddresses(): void {
    const oldest = this.options.clock.monotonic() - ADDRESS_TTL_MS;
    for (const [address, namedAt] of this.knownAddresses) {
      if (namedAt < oldest) this.knownAddresses.delete(address);
    }
  }

  private logFailure(event: string, error: unknown): void {
    this.options.log.warn({ event, error: describeError(error) });
  }
}
