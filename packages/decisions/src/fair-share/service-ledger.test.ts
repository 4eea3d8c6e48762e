import { expect } from 'chai';
import fc from 'fast-check';
import { ServiceAccount } from './service-account.ts';
import { ServiceLedger } from './service-ledger.ts';
import type { ServiceRow } from './service-ledger.ts';

const SEED = 20261203;
const WORKSPACES = ['a', 'b', 'c'];

/** Reports of two endpoints with two incarnations each, numbered by incarnation. */
const rows = fc.array(
  fc.record({
    endpoint: fc.constantFrom('x', 'y'),
    incarnation: fc.constantFrom('1', '2'),
    sequence: fc.integer({ min: 1, max: 5 }),
    workspace: fc.constantFrom(...WORKSPACES),
  }),
  { maxLength: 30 },
);

/** Derives the amounts from the sequence number, which a sidecar never reuses; `pending` may fall. */
function makeRow(draft: {
  endpoint: string;
  incarnation: string;
  sequence: number;
  workspace: string;
}): ServiceRow {
  const { endpoint, incarnation, sequence, workspace } = draft;
  const entry = { workspace, service: sequence * 3, pending: (sequence * 7) % 5 };
  return { endpoint, incarnation, sequence, entries: [entry] };
}

function mergeAndListTotals(merged: readonly ServiceRow[]): number[] {
  const ledger = new ServiceLedger();
  merged.forEach((row) => ledger.mergeRow(row));
  return WORKSPACES.map((workspace) => ledger.totalService(workspace));
}

describe('ServiceLedger', () => {
  it('computes the same totals for any order of reports', () => {
    fc.assert(
      fc.property(rows, fc.nat(), (drafts, offset) => {
        const reports = drafts.map(makeRow);
        const cut = reports.length === 0 ? 0 : offset % reports.length;
        const rotated = [...reports.slice(cut), ...reports.slice(0, cut)];
        expect(mergeAndListTotals(rotated)).to.deep.equal(mergeAndListTotals(reports));
        expect(mergeAndListTotals([...reports].reverse())).to.deep.equal(
          mergeAndListTotals(reports),
        );
      }),
      { seed: SEED },
    );
  });

  it('ignores a duplicate report', () => {
    fc.assert(
      fc.property(rows, (drafts) => {
        const reports = drafts.map(makeRow);
        expect(mergeAndListTotals([...reports, ...reports])).to.deep.equal(
          mergeAndListTotals(reports),
        );
      }),
      { seed: SEED },
    );
  });

  it('keeps the service of a lost process and drops its provisional charges', () => {
    const ledger = new ServiceLedger();
    const first = { endpoint: 'x', incarnation: '1', sequence: 1 };
    ledger.mergeRow({ ...first, entries: [{ workspace: 'a', service: 10, pending: 4 }] });
    expect(ledger.totalService('a')).to.equal(14);
    ledger.mergeRow({ endpoint: 'x', incarnation: '2', sequence: 1, entries: [] });
    expect(ledger.totalService('a')).to.equal(10);
  });

  it('returns only what has changed since a version', () => {
    const ledger = new ServiceLedger();
    const writer = { endpoint: 'x', incarnation: '1' };
    ledger.mergeRow({
      ...writer,
      sequence: 1,
      entries: [{ workspace: 'a', service: 1, pending: 0 }],
    });
    const { version } = ledger.changesSince(0);
    ledger.mergeRow({
      ...writer,
      sequence: 2,
      entries: [{ workspace: 'b', service: 2, pending: 0 }],
    });
    ledger.mergeAdjustments([{ workspace: 'c', lift: 3, forgiven: 0 }]);
    const changes = ledger.changesSince(version);
    expect(changes.totals).to.deep.equal({ workspaces: ['b'], services: [2] });
    expect(changes.adjustments).to.deep.equal([{ workspace: 'c', lift: 3, forgiven: 0 }]);
  });
});

describe('ServiceAccount', () => {
  it('charges exactly the actual cost in total, however wrong the expected cost', () => {
    const request = fc.record({
      workspace: fc.constantFrom(...WORKSPACES),
      expectedCost: fc.integer({ min: 0, max: 50 }),
      parts: fc.array(fc.integer({ min: 0, max: 20 }), { maxLength: 6 }),
    });
    fc.assert(
      fc.property(fc.array(request, { maxLength: 10 }), (requests) => {
        const account = new ServiceAccount();
        const open = requests.map((entry) => ({
          ...entry,
          charge: account.openCharge({ ...entry, weight: 1 }),
        }));
        for (const { charge, parts } of open) parts.forEach((part) => charge.recordCost(part));
        open.forEach(({ charge }) => charge.close());
        for (const workspace of WORKSPACES) {
          const done = requests
            .filter((entry) => entry.workspace === workspace)
            .reduce((sum, { parts }) => sum + parts.reduce((a, b) => a + b, 0), 0);
          expect(account.getEntry(workspace)).to.deep.equal({
            workspace,
            service: done,
            pending: 0,
          });
        }
      }),
      { seed: SEED },
    );
  });

  it('charges the greater of the expected and the actual cost', () => {
    const account = new ServiceAccount();
    const charge = account.openCharge({ workspace: 'a', weight: 2, expectedCost: 10 });
    charge.recordCost(4);
    expect(account.getEntry('a')).to.deep.equal({ workspace: 'a', service: 2, pending: 3 });
    charge.recordCost(10);
    expect(account.getEntry('a')).to.deep.equal({ workspace: 'a', service: 7, pending: 0 });
  });
});
