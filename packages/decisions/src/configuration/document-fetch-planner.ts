/**
 * From which peer to fetch the next document. Peers offer versions; at most one document is fetched at
 * a time, the newest on offer, so a large one crosses each process's links once. A peer that fails
 * is asked again only for another offer.
 */
import { compareVersions, isNewerVersion, NO_VERSION } from './document-version.ts';
import type { DocumentVersion } from './document-version.ts';

/** A document to fetch from a peer. */
export interface DocumentFetch<Peer> {
  peer: Peer;
  version: DocumentVersion;
}

/** Plans the fetches of one process. */
export class DocumentFetchPlanner<Peer> {
  private readonly offers = new Map<Peer, DocumentVersion>();
  private readonly refusedKeys = new Set<string>();
  private newest: DocumentVersion = NO_VERSION;
  private currentFetch: DocumentFetch<Peer> | undefined;

  /** The newest version that this process holds. */
  get newestVersion(): DocumentVersion {
    return this.newest;
  }

  get isFetching(): boolean {
    return this.currentFetch !== undefined;
  }

  /** A peer says that it has a version. */
  recordOffer(peer: Peer, version: DocumentVersion): void {
    this.offers.set(peer, version);
  }

  /** A peer is gone, and a fetch from it with it. */
  removePeer(peer: Peer): void {
    this.offers.delete(peer);
    if (this.currentFetch?.peer === peer) this.currentFetch = undefined;
  }

  /** This process holds a version, from wherever. */
  recordVersion(version: DocumentVersion): void {
    if (isNewerVersion(version, this.newest)) this.newest = version;
  }

  /** This process has refused a version, will not fetch it again, and goes on with `inForce`. */
  markRefused(version: DocumentVersion, inForce: DocumentVersion): void {
    this.refusedKeys.add(formatVersionKey(version));
    if (compareVersions(this.newest, version) === 0) this.newest = inForce;
  }

  isRefused(version: DocumentVersion): boolean {
    return this.refusedKeys.has(formatVersionKey(version));
  }

  /** The next fetch to start; undefined where nothing newer is on offer or a fetch is under way. */
  startNext(): DocumentFetch<Peer> | undefined {
    if (this.currentFetch !== undefined) return undefined;
    let best: DocumentFetch<Peer> | undefined;
    for (const [peer, version] of this.offers) {
      if (!isNewerVersion(version, this.newest) || this.isRefused(version)) continue;
      if (best === undefined || compareVersions(version, best.version) > 0)
        best = { peer, version };
    }
    this.currentFetch = best;
    return best;
  }

  /** A fetch has ended; a failed offer counts no more. */
  completeFetch(fetch: DocumentFetch<Peer>, succeeded: boolean): void {
    if (this.currentFetch === fetch) this.currentFetch = undefined;
    const offered = this.offers.get(fetch.peer);
    if (!succeeded && offered !== undefined && compareVersions(offered, fetch.version) === 0) {
      this.offers.delete(fetch.peer);
    }
  }
}

function formatVersionKey({ revision, digest }: DocumentVersion): string {
  return `${revision} ${digest}`;
}
