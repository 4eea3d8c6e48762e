/**
 * Evidence that connections lead to one incarnation of an endpoint, see `incarnationOf`. The entry of an endpoint may
 * be out of date: a process that has started again serves at the same address before its entry is read. But the
 * connections of a process end with it, so what holds of a process when a connection was opened holds for as long as
 * the connection is open. All connections are opened after the entry was read, so the incarnation had started.
 *
 * Nobody renews the entry of a process that has ended. So one that is listed for longer than it lives unrenewed, in
 * lists that leave no gap, belongs to a process that lives. An outage of the store keeps entries alive for longer; it
 * is a gap, or shorter than one.
 */

/** Period in which a process renews its entry, in ms. */
const HEARTBEAT_MS = 1_200;

/** Heartbeats that an entry outlives its last renewal. */
const HEARTBEATS_PER_ENTRY = 3;

/** Time for which entries outlive the end of an outage of the store, in ms. */
const OUTAGE_GRACE_MS = 2_000;

/** Delay with which the end of an entry may be read, in ms. */
const MARGIN_MS = 400;

/** Longest time between two complete lists without a gap, in ms; a quiet store is confirmed every 1,000 ms. */
const MAX_LIST_GAP_MS = 1_200;

/** Longest time for which an entry that isn't renewed is listed, in ms, with an outage that leaves no gap. */
const UNRENEWED_ENTRY_MS =
  HEARTBEATS_PER_ENTRY * HEARTBEAT_MS + MAX_LIST_GAP_MS + OUTAGE_GRACE_MS + MARGIN_MS;

/**
 * Time from which a complete list that still names the incarnation proves that a connection which was open at `at`
 * leads to it, if there was no gap since.
 */
export function provableAt(at: number): number {
  return at + UNRENEWED_ENTRY_MS;
}

/** What is known of the process behind the address of one incarnation. All times are monotonic, in ms. */
export class IncarnationEvidence {
  private provedAt = Number.NEGATIVE_INFINITY;
  private listedAt = Number.NEGATIVE_INFINITY;
  /** Start of the lists without a gap that end with the latest one. */
  private listedSince = Number.NEGATIVE_INFINITY;

  /** Records that the process has named its start over a connection that was opened at `at` or later. */
  recordTold(at: number): void {
    this.provedAt = Math.max(this.provedAt, at);
  }

  /** Records that the incarnation was in a list that was complete at `at`. */
  recordListed(at: number): void {
    if (at <= this.listedAt) return;
    if (at - this.listedAt > MAX_LIST_GAP_MS) this.listedSince = at;
    this.listedAt = at;
    const provedAt = at - UNRENEWED_ENTRY_MS;
    if (provedAt >= this.listedSince) this.provedAt = Math.max(this.provedAt, provedAt);
  }

  /** Whether a connection that was open at `at` leads to the incarnation. */
  covers(at: number): boolean {
    return at <= this.provedAt;
  }
}
