/**
 * When a process that has just started may put a configuration in force. It first hears from its
 * peers, since the service may show it an older revision than the one that was in force before.
 */

/** Wait for the rest of the peers when at least one has been heard. */
export const REMAINING_PEERS_TIMEOUT_MS = 1_500;

/** Wait for a first peer. */
export const FIRST_PEER_TIMEOUT_MS = 3_000;

/** What a starting process has heard. */
export interface PeerWaitProgress {
  elapsedMs: number;
  /** Whether the host list has been read, so that the peers are known. */
  isHostListLoaded: boolean;
  /** Peers that it dials. */
  expectedPeers: number;
  /** Of these, the ones that have told their version. */
  respondedPeers: number;
  isFetching: boolean;
}

/** Whether a process need not wait for its peers any longer. */
export function isPeerWaitOver(progress: PeerWaitProgress): boolean {
  const { elapsedMs, isHostListLoaded, expectedPeers, respondedPeers, isFetching } = progress;
  if (elapsedMs >= FIRST_PEER_TIMEOUT_MS) return true;
  if (isFetching || !isHostListLoaded) return false;
  if (respondedPeers >= expectedPeers) return true;
  return respondedPeers > 0 && elapsedMs >= REMAINING_PEERS_TIMEOUT_MS;
}
