/**
 * Versions of the published document. They are totally ordered: by revision, then by the digest of the
 * text, so that two documents that were published under one revision by mistake still leave every
 * process with the same one.
 */

/** Identifies a published document. */
export interface DocumentVersion {
  /** 0 where no document is known. */
  revision: number;
  /** SHA-256 of the text, hexadecimal, shortened; empty where no document is known. */
  digest: string;
}

/** The version of a process that has no document yet. */
export const NO_VERSION: DocumentVersion = { revision: 0, digest: '' };

/** Negative where `a` comes before `b`, 0 where they are the same. */
export function compareVersions(a: DocumentVersion, b: DocumentVersion): number {
  if (a.revision !== b.revision) return a.revision - b.revision;
  if (a.digest === b.digest) return 0;
  return a.digest < b.digest ? -1 : 1;
}

/** Whether `a` comes after `b`. */
export function isNewerVersion(a: DocumentVersion, b: DocumentVersion): boolean {
  return compareVersions(a, b) > 0;
}
