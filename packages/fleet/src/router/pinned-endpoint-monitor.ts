/** Detects pinned endpoints whose sidecar is not linked to the router. */

/** Time for which a pinned endpoint may be unavailable before its queued requests fail. */
export const PINNED_ENDPOINT_GRACE_MS = 3_000;

/** Tracks since when endpoints are unavailable. */
export class PinnedEndpointMonitor {
  private readonly unavailableSince = new Map<string, number>();

  /** Records which endpoints have a linked sidecar. */
  recordLinked(linked: ReadonlySet<string>): void {
    for (const endpoint of linked) this.unavailableSince.delete(endpoint);
  }

  /** Whether an endpoint without a linked sidecar has been unavailable for the whole grace period. */
  isUnavailable(endpoint: string, now: number): boolean {
    const since = this.unavailableSince.get(endpoint) ?? now;
    this.unavailableSince.set(endpoint, since);
    return now - since >= PINNED_ENDPOINT_GRACE_MS;
  }
}
