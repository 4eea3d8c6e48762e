/**
 * Plans from which peer to fetch the next document. Peers offer versions, and a process fetches the
 * newest one on offer. At most one fetch runs at a time, so a process receives a large document over its
 * links only once. After a failed fetch, the peer is used again only once it makes another offer.
 */
import { compareVersions, isNewerVersion, NO_VERSION } from './document-version.ts';
import type { DocumentVersion } from './document-version.ts';

/** A fetch of one document version from one peer. */
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

  /** The newest version that this process has. */
  get newestVersion(): DocumentVersion {
    return this.newest;
  }

  get isFetching(): boolean {
    return this.currentFetch !== undefined;
  }

  /** Records that a peer offers a version. */
  recordOffer(peer: Peer, version: DocumentVersion): void {
    this.offers.set(peer, version);
  }

  /** Removes a peer, and discards the fetch from it if one is in progress. */
  removePeer(peer: Peer): void {
    this.offers.delete(peer);
    if (this.currentFetch?.peer === peer) this.currentFetch = undefined;
  }

  /** Records that this process has a version, from any source. */
  recordVersion(version: DocumentVersion): void {
    if (isNewerVersion(version, this.newest)) this.newest = version;
  }

  /** Records that this process refused a version, which it never fetches again, and keeps `inForce`. */
  markRefused(version: DocumentVersion, inForce: DocumentVersion): void {
    this.refusedKeys.add(formatVersionKey(version));
    if (compareVersions(this.newest, version) === 0) this.newest = inForce;
  }

  isRefused(version: DocumentVersion): boolean {
    return this.refusedKeys.has(formatVersionKey(version));
  }

  /** Starts the next fetch; undefined if no newer version is on offer or a fetch is in progress. */
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

  /** Records the end of a fetch. A failed fetch withdraws the offer that it was started for. */
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
