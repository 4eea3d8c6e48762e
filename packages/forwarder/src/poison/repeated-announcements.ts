/** Queue of announcements to peers, each of which is repeated in several reports in case datagrams are lost. */

/** Reports that repeat an announcement. */
const REPEATS = 3;

/** Most announcements that wait, as a bound on memory; the oldest are dropped. */
const MAX_WAITING = 4_000;

/** Something seen at a time. */
export interface Announcement<Entry> {
  entry: Entry;
  /** Monotonic time at which it was seen, in ms. */
  at: number;
}

/** Announcements that wait to be sent. */
export class RepeatedAnnouncements<Entry> {
  private readonly waiting: (Announcement<Entry> & { remaining: number })[] = [];

  add(entry: Entry, at: number): void {
    this.waiting.push({ entry, at, remaining: REPEATS });
    if (this.waiting.length > MAX_WAITING) this.waiting.shift();
  }

  /** Takes at most `limit` announcements; those to be repeated go to the end of the queue. */
  take(limit: number): Announcement<Entry>[] {
    const batch = this.waiting.splice(0, limit);
    for (const { entry, at, remaining } of batch) {
      if (remaining > 1) this.waiting.push({ entry, at, remaining: remaining - 1 });
    }
    return batch;
  }
}
