/** Entries of engines in the metadata store. */

/** Which engine an entry describes. */
export interface DescribedEngine {
  service: string;
  address: string;
}

/** Builds the entry of an engine that is ready, with other or further fields if they are given. */
export function createStoreEntry(
  engine: DescribedEngine,
  overrides: Record<string, unknown> = {},
): Record<string, unknown> {
  return {
    ...engine,
    zone: 'z',
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldRemainingMs: 0,
    seq: 1,
    ...overrides,
  };
}
