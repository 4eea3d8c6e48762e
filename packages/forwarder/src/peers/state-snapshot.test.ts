import { expect } from 'chai';
import fc from 'fast-check';
import { CallKind } from '@poplarpick/decisions';
import type { Endpoint } from '@poplarpick/decisions';
import { stateSnapshotSchema, hashEndpoints } from './state-snapshot.ts';

const FUZZ_OPTIONS = { numRuns: 300, seed: 11 };

const ENDPOINT: Endpoint = {
  id: 'e1',
  startedAt: 5,
  pool: 'p',
  address: '127.0.0.1:1',
  dataCentre: 'z',
  slots: 4,
  isDraining: false,
};

const SNAPSHOT = {
  routesAgeMs: 12.5,
  endpointsAgeMs: 7,
  version: 3,
  routes: {
    version: 3,
    routes: [
      {
        name: 'r',
        host: 'h',
        prefix: '/a/',
        kind: CallKind.AtMostOnce,
        timeoutMs: 1,
        objectiveMs: 1,
        pauseMs: 0,
        targets: [{ pool: 'p', weight: 1 }],
        maxAttempts: 1,
        isPublic: false,
        isResumable: false,
      },
    ],
    pools: [{ name: 'p', connectionLimit: 4, batch: { cacheTokens: 9 } }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tokensPerSecond: 10,
    workspaces: [{ name: 'w', keys: ['k'] }],
  },
  endpoints: [ENDPOINT],
};

describe('state snapshot', () => {
  it('survives a JSON round trip unchanged', () => {
    const text = JSON.stringify(SNAPSHOT);
    expect(stateSnapshotSchema.parse(JSON.parse(text))).to.deep.equal(SNAPSHOT);
  });

  it('is either rejected or completely valid when the text is corrupted', () => {
    const text = JSON.stringify(SNAPSHOT);
    fc.assert(
      fc.property(fc.nat(text.length), fc.string({ maxLength: 12 }), (at, garbage) => {
        const corrupted = text.slice(0, at) + garbage + text.slice(at + garbage.length);
        let content: unknown;
        try {
          content = JSON.parse(corrupted);
        } catch {
          return;
        }
        const result = stateSnapshotSchema.safeParse(content);
        if (!result.success) return;
        for (const { slots, isDraining } of result.data.endpoints ?? []) {
          expect(slots).to.be.a('number');
          expect(isDraining).to.be.a('boolean');
        }
      }),
      FUZZ_OPTIONS,
    );
  });

  it('hashes a list of endpoints by its content, regardless of the order', () => {
    const other = { ...ENDPOINT, id: 'e2' };
    const hash = hashEndpoints([ENDPOINT, other]);
    expect(hashEndpoints([other, ENDPOINT])).to.equal(hash);
    expect(hashEndpoints([{ ...ENDPOINT, isDraining: true }, other])).not.to.equal(hash);
  });
});
