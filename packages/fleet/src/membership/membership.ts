/**
 * Synchronises the member table of one process with its peers. Changes are forwarded over all links at
 * once (gossip), and the table is periodically compared with that of one peer (anti-entropy). A sidecar
 * stores only its own record, sends it to routers, and refutes false records about itself.
 */
import { MemberState, MemberTable } from '@poplarpick/decisions';
import type { MemberRecord } from '@poplarpick/decisions';
import { describeError, Role, Task, RepairKind, reportRepair } from '@poplarpick/kernel';
import type { Clock, Logger, Metrics } from '@poplarpick/kernel';
import type { Link } from '../link/link.ts';
import type { LinkHub, Peer } from '../link/link-hub.ts';
import { CallMethod, NotificationMethod } from '../messages.ts';

/** Kinds of messages to the membership task. */
export enum MembershipMessageKind {
  Join,
  Records,
  Unreachable,
  Tick,
  Compare,
  Leave,
}

/** Messages to the membership task. */
export type MembershipMessage =
  | { kind: MembershipMessageKind.Join; peer: Peer }
  | { kind: MembershipMessageKind.Records; records: MemberRecord[]; link: Link }
  | { kind: MembershipMessageKind.Unreachable; host: string }
  | { kind: MembershipMessageKind.Tick }
  | { kind: MembershipMessageKind.Compare }
  | { kind: MembershipMessageKind.Leave };

/** Status of the membership for operators. */
export interface MembershipStatus {
  alive: number;
  suspect: string[];
  down: string[];
  damped: string[];
  /** Hash of the table, in hexadecimal; equal for two processes that have the same records. */
  digest: string;
}

/** Options of a `Membership`. */
export interface MembershipOptions {
  table: MemberTable;
  role: Role;
  hub: LinkHub;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Called after every change of a member's record. */
  onChange: (record: MemberRecord) => void;
}

/** Task that owns the member table. */
export class Membership extends Task<MembershipMessage> {
  private readonly options: MembershipOptions;
  private readonly table: MemberTable;

  constructor(options: MembershipOptions) {
    super('membership', options.log);
    this.options = options;
    this.table = options.table;
  }

  /** Whether a host may be dialled and given work: not known to be down or to have left, nor damped. */
  isUsable(host: string): boolean {
    return this.table.isUsable(host, this.now());
  }

  find(host: string): MemberRecord | undefined {
    return this.table.find(host);
  }

  /** Hosts that are considered down. */
  listDown(): string[] {
    return this.listHostsInState(MemberState.Down);
  }

  readStatus(): MembershipStatus {
    const digest = this.table
      .computeBucketHashes()
      .reduce((sum, bucket) => (sum * 31 + bucket) >>> 0, 7);
    return {
      alive: this.listHostsInState(MemberState.Alive).length,
      suspect: this.listHostsInState(MemberState.Suspect),
      down: this.listDown(),
      damped: this.table.listDamped(this.now()),
      digest: digest.toString(16),
    };
  }

  /** Records of the buckets in which this table differs from another, given its bucket hashes. */
  findDifferingRecords(otherHashes: readonly number[]): MemberRecord[] {
    return this.table.findDifferingRecords(otherHashes);
  }

  protected override handle(message: MembershipMessage): void {
    switch (message.kind) {
      case MembershipMessageKind.Join:
        this.greetPeer(message.peer);
        return;
      case MembershipMessageKind.Records:
        this.mergeRecords(message.records, message.link);
        return;
      case MembershipMessageKind.Unreachable:
        this.suspectHost(message.host);
        return;
      case MembershipMessageKind.Tick:
        this.broadcast(this.table.tick(this.now()));
        return;
      case MembershipMessageKind.Compare:
        this.compareWithRandomRouter();
        return;
      case MembershipMessageKind.Leave:
        this.broadcast(this.table.leave(this.now()));
    }
  }

  private suspectHost(host: string): void {
    const updates = this.table.suspect(host, this.now());
    if (updates.length > 0)
      reportRepair(this.options, {
        kind: RepairKind.HostSuspected,
        cause: 'unreachable',
        subject: host,
      });
    this.broadcast(updates);
  }

  private greetPeer({ link, role }: Peer): void {
    link.notify(NotificationMethod.Members, { records: [this.table.self] });
    if (role === Role.Router && this.options.role === Role.Router) this.requestComparison(link);
  }

  private mergeRecords(records: MemberRecord[], link: Link): void {
    const isSidecar = this.options.role === Role.Sidecar;
    const ownHost = this.table.self.host;
    const relevant = isSidecar ? records.filter((record) => record.host === ownHost) : records;
    const { updates, corrections } = this.table.merge(relevant, this.now());
    this.broadcast(updates, link);
    // The refutation of a false record about this process also goes back to its sender, which
    // `broadcast` leaves out.
    const reply = [...corrections, ...updates.filter((record) => record.host === ownHost)];
    if (reply.length > 0) link.notify(NotificationMethod.Members, { records: reply });
  }

  /**
   * Forwards changed records to all peers but `except`, and reports the changes. A sidecar receives
   * only the record of itself.
   */
  private broadcast(records: readonly MemberRecord[], except?: Link): void {
    if (records.length === 0) return;
    for (const peer of this.options.hub.peers()) {
      if (peer.link === except) continue;
      const relevant =
        peer.role === Role.Router ? records : records.filter(({ host }) => host === peer.host);
      if (relevant.length > 0)
        peer.link.notify(NotificationMethod.Members, { records: [...relevant] });
    }
    for (const record of records) this.reportChange(record);
  }

  private reportChange(record: MemberRecord): void {
    const { host, state, version } = record;
    this.options.log.info({ event: `membership.${state}`, peer: host, version });
    this.options.onChange(record);
  }

  private compareWithRandomRouter(): void {
    const routers = this.options.hub.peers(Role.Router);
    const peer = routers[Math.floor(Math.random() * routers.length)];
    if (peer !== undefined) this.requestComparison(peer.link);
  }

  private requestComparison(link: Link): void {
    link
      .call(CallMethod.CompareMembers, { summary: this.table.computeBucketHashes() })
      .then(({ records }) => this.post({ kind: MembershipMessageKind.Records, records, link }))
      .catch((error: unknown) => {
        this.options.log.debug({ event: 'membership.compare_failed', error: describeError(error) });
      });
  }

  private listHostsInState(state: MemberState): string[] {
    return this.table
      .records()
      .filter((record) => record.state === state)
      .map(({ host }) => host);
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}
