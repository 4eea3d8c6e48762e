/**
 * Rendezvous hashing with MurmurHash3. Processes with the same list of names pick the same name for a
 * key, and adding or removing a name moves only the keys that map to that name.
 */
import murmurhash from 'murmurhash';

/** Returns the names ordered by their score for `key`, highest first; ties are broken by name. */
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
  return names
    .map((name) => ({ candidate: name, score: scoreName(key, name) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map((entry) => entry.candidate);
}

/** Returns the name with the highest score for `key`, or undefined if there are no names. */
export function pickByRendezvous(key: string, names: readonly string[]): string | undefined {
  return rankByRendezvous(key, names)[0];
}

function scoreName(key: string, candidate: string): number {
  return murmurhash.v3(`${candidate}\u0000${key}`);
}
