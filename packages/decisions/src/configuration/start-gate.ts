/**
 * When a process that has just started may put a configuration in force. It first hears from its
 * peers, since the service may show it an older revision than the one that was in force before.
 */

/** Wait for the rest of the peers when at least one has been heard. */
export const SOME_PEERS_WAIT_MS = 1_500;

/** Wait for a first peer. */
export const NO_PEERS_WAIT_MS = 3_000;

/** What a starting process has heard. */
export interface StartProgress {
  elapsedMs: number;
  /** Whether the host list has been read, so that the peers are known. */
  hostsKnown: boolean;
  /** Peers that it dials. */
  expected: number;
  /** Of these, the ones that have told their version. */
  heard: number;
  isFetching: boolean;
}

/** Whether a process need not wait for its peers any longer. */
export function isStartComplete(progress: StartProgress): boolean {
  const { elapsedMs, hostsKnown, expected, heard, isFetching } = progress;
  if (elapsedMs >= NO_PEERS_WAIT_MS) return true;
  if (isFetching || !hostsKnown) return false;
  if (heard >= expected) return true;
  return heard > 0 && elapsedMs >= SOME_PEERS_WAIT_MS;
}
