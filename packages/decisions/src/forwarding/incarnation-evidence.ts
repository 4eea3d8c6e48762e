/**
 * Evidence that connections lead to one incarnation of an endpoint, see `incarnationOf`. The entry of an endpoint may
 * be out of date: a process that has started again serves at the same address before its entry is read. But the
 * connections of a process end with it, so what holds of a process when a connection was opened holds for as long as
 * the connection is open. All connections are opened after the entry was read, so the incarnation had started.
 */

/** Time in which a process that serves at the address of another one has written its own entry, in ms. */
const ENTRY_LAG_MS = 1_500;

/**
 * Time from which a complete list that still names the incarnation proves that a connection which was open at `at`
 * leads to it.
 */
export function provableAt(at: number): number {
  return at + ENTRY_LAG_MS;
}

/** What is known of the process behind the address of one incarnation. All times are monotonic, in ms. */
export class IncarnationEvidence {
  private toldAt = Number.NEGATIVE_INFINITY;
  private listedAt = Number.NEGATIVE_INFINITY;

  /** Records that the process has named its start over a connection that was opened at `at` or later. */
  recordTold(at: number): void {
    this.toldAt = Math.max(this.toldAt, at);
  }

  /** Records that the incarnation was in a list that was complete at `at`. */
  recordListed(at: number): void {
    this.listedAt = Math.max(this.listedAt, at);
  }

  /** Whether a connection that was open at `at` leads to the incarnation. */
  covers(at: number): boolean {
    return at <= this.toldAt || provableAt(at) <= this.listedAt;
  }
}
