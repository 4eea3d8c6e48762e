/**
 * Ids of the requests that were refused on one connection. A faulty endpoint may write an earlier response once more,
 * where the next one is expected. Its id tells it from the response to another request, but not from that to a
 * request with the same id, so such a request goes over another connection.
 */

/** Most ids that are remembered; the oldest are forgotten first. */
const MAX_IDS = 1_000;

/** The refusals on one connection. */
export class RefusedIds {
  private readonly ids = new Set<string>();

  has(requestId: string): boolean {
    return this.ids.has(requestId);
  }

  add(requestId: string): void {
    this.ids.add(requestId);
    if (this.ids.size <= MAX_IDS) return;
    const [oldest] = this.ids;
    if (oldest !== undefined) this.ids.delete(oldest);
  }

  /** Forgets all, since another connection has taken the place of this one. */
  clear(): void {
    this.ids.clear();
  }
}
