/**
 * The sidecars of a router: those that are linked and have resumed, and those whose link was lost and
 * which may yet come back.
 */
import type { Peer } from '../link/link-hub.ts';
import { NoticeMethod } from '../messages.ts';
import type { AttemptReference } from '../messages.ts';
import { ResumptionTracker } from './resumption-tracker.ts';

/** Time for which a lost sidecar may come back before its requests are settled without it. */
export const SIDECAR_GRACE_MS = 8_000;

/** Keeps the sidecars of one router. */
export class SidecarRegistry {
  private readonly linkedPeers = new Map<string, Peer>();
  /** Monotonic time at which the link of each absent sidecar was lost. */
  private readonly lostAt = new Map<string, number>();
  private readonly resumptionTracker = new ResumptionTracker();

  /** Takes a sidecar in; false where a later link of it has overtaken this one. */
  register(peer: Peer, sequence: number): boolean {
    if (!this.resumptionTracker.accept(peer, sequence)) return false;
    this.lostAt.delete(peer.host);
    this.linkedPeers.set(peer.host, peer);
    return true;
  }

  /** Notes that a link is lost; false where it is not the current one of its sidecar. */
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

  /** Tells a sidecar, if it is linked, that nobody waits for an attempt any more. */
  sendCancel(host: string, reference: AttemptReference): void {
    this.linkedPeers.get(host)?.link.notify(NoticeMethod.Cancel, reference);
  }

  /** Hosts that have stayed away for the whole grace time; each is named once. */
  takeExpired(now: number): string[] {
    const expired = [...this.lostAt]
      .filter(([, lostAt]) => now - lostAt >= SIDECAR_GRACE_MS)
      .map(([host]) => host);
    expired.forEach((host) => this.lostAt.delete(host));
    return expired;
  }
}
