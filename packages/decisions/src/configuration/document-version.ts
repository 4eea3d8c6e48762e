/**
 * Versions of the published configuration document. They are totally ordered, first by revision and
 * then by the digest of the text. Even if two documents are published under one revision by mistake,
 * every process converges to the same one.
 */

/** Identifies a published document. */
export interface DocumentVersion {
  /** 0 if no document is known. */
  revision: number;
  /** Truncated SHA-256 of the text, in hexadecimal; empty if no document is known. */
  digest: string;
}

/** The version of a process that has no document yet. */
export const NO_VERSION: DocumentVersion = { revision: 0, digest: '' };

/** Comparator for sorting: negative if `a` is older than `b`, 0 if they are the same. */
export function compareVersions(a: DocumentVersion, b: DocumentVersion): number {
  if (a.revision !== b.revision) return a.revision - b.revision;
  if (a.digest === b.digest) return 0;
  return a.digest < b.digest ? -1 : 1;
}

/** Whether `a` is newer than `b`. */
export function isNewerVersion(a: DocumentVersion, b: DocumentVersion): boolean {
  return compareVersions(a, b) > 0;
}
