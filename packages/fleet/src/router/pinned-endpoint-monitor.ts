/** Notices endpoints that requests are pinned to and that no linked sidecar stands for. */

/** Time for which a pinned endpoint may be away before its requests are refused. */
export const PINNED_ENDPOINT_GRACE_MS = 3_000;

/** Remembers since when endpoints are away. */
export class PinnedEndpointMonitor {
  private readonly unavailableSince = new Map<string, number>();

  /** Notes which endpoints are linked now. */
  recordLinked(linked: ReadonlySet<string>): void {
    for (const endpoint of linked) this.unavailableSince.delete(endpoint);
  }

  /** Whether an endpoint that is not linked has been away for too long. */
  isUnavailable(endpoint: string, now: number): boolean {
    const since = this.unavailableSince.get(endpoint) ?? now;
    this.unavailableSince.set(endpoint, since);
    return now - since >= PINNED_ENDPOINT_GRACE_MS;
  }
}
