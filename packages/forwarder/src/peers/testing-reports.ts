/** Reports for the tests of this folder. */
import type { PeerReport } from './peer-table.ts';

/** Builds a report without content. */
export function makeReport(overrides: Partial<PeerReport>): PeerReport {
  return {
    from: '10.0.0.2:1',
    startedAt: 1,
    sequence: 1,
    version: 1,
    loads: [],
    kept: [],
    lateRates: [],
    ...overrides,
  };
}
