/**
 * Decides when a process that has just started may put a configuration in force. It waits for the
 * versions of its peers first, because the service may return an older revision than the one that was
 * in force before.
 */

/** Longest wait for the remaining peers once at least one has responded. */
export const REMAINING_PEERS_TIMEOUT_MS = 1_500;

/** Longest wait for the first peer, and overall. */
export const FIRST_PEER_TIMEOUT_MS = 3_000;

/** Progress of a starting process in reaching its peers. */
export interface PeerWaitProgress {
  elapsedMs: number;
  /** Whether the host list has been loaded, which names the peers. */
  isHostListLoaded: boolean;
  /** Number of peers that the process dials. */
  expectedPeers: number;
  /** Number of peers that have announced their version. */
  respondedPeers: number;
  /** Whether a document is being fetched from a peer. */
  isFetching: boolean;
}

/** Whether a process may stop waiting for its peers. */
export function isPeerWaitOver(progress: PeerWaitProgress): boolean {
  const { elapsedMs, isHostListLoaded, expectedPeers, respondedPeers, isFetching } = progress;
  if (elapsedMs >= FIRST_PEER_TIMEOUT_MS) return true;
  if (isFetching || !isHostListLoaded) return false;
  if (respondedPeers >= expectedPeers) return true;
  return respondedPeers > 0 && elapsedMs >= REMAINING_PEERS_TIMEOUT_MS;
}
