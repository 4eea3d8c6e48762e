import { expect } from 'chai';
import fc from 'fast-check';
import { ServiceAccount } from './service-account.ts';
import { ServiceLedger } from './service-ledger.ts';
import type { ServiceRow } from './service-ledger.ts';

const SEED = 20261203;
const WORKSPACES = ['a', 'b', 'c'];

/** Reports of a few endpoints; each incarnation numbers its own, and amounts may rise and fall. */
const rows = fc.array(
  fc.record({
    endpoint: fc.constantFrom('x', 'y'),
    incarnation: fc.constantFrom('1', '2'),
    sequence: fc.integer({ min: 1, max: 5 }),
    workspace: fc.constantFrom(...WORKSPACES),
  }),
  { maxLength: 30 },
);

/** A writer never gives one number to two values, so the value follows from the number. */
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

function totalsOf(merged: readonly ServiceRow[]): number[] {
  const ledger = new ServiceLedger();
  merged.forEach((row) => ledger.mergeRow(row));
  return WORKSPACES.map((workspace) => ledger.totalService(workspace));
}

describe('ServiceLedger', () => {
  it('merges in any order to the same totals', () => {
    fc.assert(
      fc.property(rows, fc.nat(), (drafts, turn) => {
        const reports = drafts.map(makeRow);
        const cut = reports.length === 0 ? 0 : turn % reports.length;
        const turned = [...reports.slice(cut), ...reports.slice(0, cut)];
        expect(totalsOf(turned)).to.deep.equal(totalsOf(reports));
        expect(totalsOf([...reports].reverse())).to.deep.equal(totalsOf(reports));
      }),
      { seed: SEED },
    );
  });

  it('takes the same report twice as once', () => {
    fc.assert(
      fc.property(rows, (drafts) => {
        const reports = drafts.map(makeRow);
        expect(totalsOf([...reports, ...reports])).to.deep.equal(totalsOf(reports));
      }),
      { seed: SEED },
    );
  });

  it('keeps what a lost process produced and drops its provisional charges', () => {
    const ledger = new ServiceLedger();
    const first = { endpoint: 'x', incarnation: '1', sequence: 1 };
    ledger.mergeRow({ ...first, entries: [{ workspace: 'a', service: 10, pending: 4 }] });
    expect(ledger.totalService('a')).to.equal(14);
    ledger.mergeRow({ endpoint: 'x', incarnation: '2', sequence: 1, entries: [] });
    expect(ledger.totalService('a')).to.equal(10);
  });

  it('tells only what has changed since a version', () => {
    const ledger = new ServiceLedger();
    const mark = { endpoint: 'x', incarnation: '1' };
    ledger.mergeRow({
      ...mark,
      sequence: 1,
      entries: [{ workspace: 'a', service: 1, pending: 0 }],
    });
    const { version } = ledger.changesSince(0);
    ledger.mergeRow({
      ...mark,
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
  it('charges in total exactly the service done, however wrong the expectation', () => {
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

  it('is charged the greater of what was expected and what was produced', () => {
    const account = new ServiceAccount();
    const charge = account.openCharge({ workspace: 'a', weight: 2, expectedCost: 10 });
    charge.recordCost(4);
    expect(account.getEntry('a')).to.deep.equal({ workspace: 'a', service: 2, pending: 3 });
    charge.recordCost(10);
    expect(account.getEntry('a')).to.deep.equal({ workspace: 'a', service: 7, pending: 0 });
  });
});
