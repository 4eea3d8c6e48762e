/**
 * Rendezvous hashing: every process that knows the same names picks the same winner for a key, and
 * a name that comes or goes moves only the keys that it wins. The hash is MurmurHash3.
 */
import murmurhash from 'murmurhash';

/** Names ordered by their score for `key`, best first. */
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
  return names
    .map((candidate) => ({ candidate, score: scoreName(key, candidate) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map((entry) => entry.candidate);
}

/** The winner for `key`, or undefined where there are no names. */
export function pickByRendezvous(key: string, names: readonly string[]): string | undefined {
  return rankByRendezvous(key, names)[0];
}

function scoreName(key: string, candidate: string): number {
  return murmurhash.v3(`${candidate}\u0000${key}`);
}
