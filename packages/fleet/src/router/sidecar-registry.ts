/**
 * Registry of a router's sidecars: those that are linked and have sent their resumption, and those
 * whose link was lost less than the grace period ago.
 */
import type { Peer } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';
import type { AttemptReference } from '../messages.ts';
import { ResumptionTracker } from './resumption-tracker.ts';

/** Time within which a lost sidecar may reconnect before its attempts count as lost. */
export const SIDECAR_GRACE_MS = 8_000;

/** Tracks the link state of one router's sidecars. */
export class SidecarRegistry {
  private readonly linkedPeers = new Map<string, Peer>();
  /** Monotonic time at which the link of each absent sidecar was lost. */
  private readonly lostAt = new Map<string, number>();
  private readonly resumptionTracker = new ResumptionTracker();

  /** Makes a link the current one of its sidecar; returns false if its resumption is stale. */
  register(peer: Peer, sequence: number): boolean {
    if (!this.resumptionTracker.accept(peer, sequence)) return false;
    this.lostAt.delete(peer.host);
    this.linkedPeers.set(peer.host, peer);
    return true;
  }

  /** Records that a link was lost; returns false if it is not the current link of its sidecar. */
  markLost(peer: Peer, now: number): boolean {
    if (!this.isCurrent(peer)) return false;
    this.linkedPeers.delete(peer.host);
    this.lostAt.set(peer.host, now);
    return true;
  }

  /** Whether the peer's link is the current one of its sidecar. */
  isCurrent(peer: Peer): boolean {
    return this.linkedPeers.get(peer.host) === peer;
  }

  /** Names of the endpoints whose sidecars are linked. */
  listLinkedEndpoints(): Set<string> {
    return new Set([...this.linkedPeers.values()].flatMap((peer) => peer.endpoint ?? []));
  }

  /** Sends a sidecar the cancellation of an attempt; does nothing if the sidecar is not linked. */
  sendCancel(host: string, reference: AttemptReference): void {
    this.linkedPeers.get(host)?.link.notify(NotificationMethod.Cancel, reference);
  }

  /** Removes and returns the hosts whose link has been lost for the whole grace period. */
  takeExpired(now: number): string[] {
    const expired = [...this.lostAt]
      .filter(([, lostAt]) => now - lostAt >= SIDECAR_GRACE_MS)
      .map(([host]) => host);
    expired.forEach((host) => this.lostAt.delete(host));
    return expired;
  }
}
