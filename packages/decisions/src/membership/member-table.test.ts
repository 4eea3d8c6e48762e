import { expect } from 'chai';
import fc from 'fast-check';
import { Role } from '@poplarpick/kernel';
import { DAMPING_THRESHOLD, FlapDamper, PENALTY_HALF_LIFE_MS } from './flap-damper.ts';
import { supersedes, MemberState } from './member-record.ts';
import type { MemberRecord } from './member-record.ts';
import { MemberTable, SUSPICION_TIMEOUT_MS } from './member-table.ts';

function createIdentity(host: string, incarnation = `${host} run 1`) {
  return { host, role: Role.Router, dataCentre: 'enna', incarnation };
}

function createTable(host: string, incarnation?: string): MemberTable {
  return new MemberTable({ self: createIdentity(host, incarnation) });
}

/** Exchanges records between all tables until no table changes any more. */
function gossip(tables: readonly MemberTable[], first: readonly MemberRecord[], now: number): void {
  let records = [...first];
  for (let round = 0; records.length > 0; round += 1) {
    expect(round).to.be.below(50);
    records = tables.flatMap((table) => {
      const { updates, corrections } = table.merge(records, now);
      return [...updates, ...corrections];
    });
  }
}

function createFleet(count: number): MemberTable[] {
  const tables = Array.from({ length: count }, (_, index) => createTable(`router-${index}`));
  gossip(
    tables,
    tables.map((table) => table.self),
    0,
  );
  return tables;
}

const HOSTS = ['a', 'b', 'c'];
const record = fc.record({
  host: fc.constantFrom(...HOSTS),
  role: fc.constant(Role.Router),
  dataCentre: fc.constant('enna'),
  incarnation: fc.constantFrom('run 1', 'run 2'),
  version: fc.integer({ min: 1, max: 4 }),
  state: fc.constantFrom(...Object.values(MemberState)),
});

describe('MemberTable', () => {
  it('converges to the same records in any order, with repetitions', () => {
    const order = fc
      .array(record, { maxLength: 20 })
      .chain((records) =>
        fc.tuple(
          fc.constant(records),
          fc.shuffledSubarray([...records, ...records], { minLength: records.length * 2 }),
        ),
      );
    fc.assert(
      fc.property(order, ([records, shuffled]) => {
        const [first, second] = [createTable('x'), createTable('x')];
        first.merge(records, 0);
        second.merge(shuffled, 0);
        expect(first.computeBucketHashes()).to.deep.equal(second.computeBucketHashes());
        expect(first.findDifferingRecords(second.computeBucketHashes())).to.deep.equal([]);
      }),
      { seed: 6 },
    );
  });

  it('orders any two different records of a host', () => {
    fc.assert(
      fc.property(record, record, (a, b) => {
        const same =
          a.version === b.version && a.state === b.state && a.incarnation === b.incarnation;
        expect(supersedes(a, b) !== supersedes(b, a)).to.equal(!same);
      }),
      { seed: 6 },
    );
  });

  it('lets a live member refute any record about it, and all tables agree', () => {
    fc.assert(
      fc.property(fc.array(record, { maxLength: 20 }), (records) => {
        const tables = HOSTS.map((host) => createTable(host, 'run 3'));
        gossip(tables, records, 0);
        gossip(
          tables,
          tables.map((table) => table.self),
          0,
        );
        for (const table of tables) {
          for (const host of HOSTS) {
            expect(table.find(host)).to.include({ incarnation: 'run 3', state: MemberState.Alive });
          }
        }
      }),
      { seed: 6 },
    );
  });

  it('declares a suspect down only when it has not refuted in time', () => {
    const tables = createFleet(3);
    const [first, second, silent] = tables;
    if (first === undefined || second === undefined || silent === undefined)
      throw new Error('no fleet');
    gossip([first, second], first.suspect('router-2', 0), 0);
    expect(first.tick(SUSPICION_TIMEOUT_MS - 1)).to.deep.equal([]);
    expect(first.tick(SUSPICION_TIMEOUT_MS)[0]).to.include({
      host: 'router-2',
      state: MemberState.Down,
    });
    expect(first.isUsable('router-2', SUSPICION_TIMEOUT_MS)).to.equal(false);
    gossip(tables, first.records(), SUSPICION_TIMEOUT_MS);
    expect(second.find('router-2')?.state).to.equal(MemberState.Alive);
    expect(second.tick(2 * SUSPICION_TIMEOUT_MS)).to.deep.equal([]);
  });

  it('accepts the new incarnation of a restarted host, although its version starts again', () => {
    const tables = createFleet(3);
    const others = tables.slice(0, 2);
    gossip(others, others[0]?.suspect('router-2', 0) ?? [], 0);
    others.forEach((table) => table.tick(SUSPICION_TIMEOUT_MS));
    const restarted = createTable('router-2', 'router-2 run 2');
    gossip([...others, restarted], [restarted.self], SUSPICION_TIMEOUT_MS);
    for (const table of others) {
      expect(table.find('router-2')).to.include({
        incarnation: 'router-2 run 2',
        state: MemberState.Alive,
      });
    }
  });

  it('sends only the buckets that differ', () => {
    const [first, second] = [createTable('x'), createTable('x')];
    const records = Array.from({ length: 300 }, (_, index) => createTable(`router-${index}`).self);
    first.merge(records, 0);
    second.merge(records, 0);
    first.suspect('router-7', 0);
    const sent = first.findDifferingRecords(second.computeBucketHashes());
    expect(sent.map(({ host }) => host)).to.include('router-7');
    expect(sent.length).to.be.below(30);
  });

  it('stops using a member immediately when it announces that it leaves', () => {
    const tables = createFleet(3);
    const [first, second] = tables;
    if (first === undefined || second === undefined) throw new Error('no fleet');
    gossip(tables, first.leave(0), 0);
    expect(second.isUsable('router-0', 0)).to.equal(false);
  });
});

describe('FlapDamper', () => {
  it('damps a member that flaps often, and releases it when it has been stable', () => {
    const damper = new FlapDamper();
    for (let change = 1; change < DAMPING_THRESHOLD; change += 1) damper.recordFlap('a', 0);
    expect(damper.isDamped('a', 0)).to.equal(false);
    damper.recordFlap('a', 0);
    expect(damper.isDamped('a', PENALTY_HALF_LIFE_MS)).to.equal(true);
    expect(damper.isDamped('a', 3 * PENALTY_HALF_LIFE_MS)).to.equal(false);
    expect(damper.listDamped(3 * PENALTY_HALF_LIFE_MS)).to.deep.equal([]);
  });

  it('does not damp a member that restarts once an hour', () => {
    const damper = new FlapDamper();
    for (let hour = 0; hour < 24; hour += 1) damper.recordFlap('a', hour * 3_600_000);
    expect(damper.isDamped('a', 23 * 3_600_000)).to.equal(false);
  });
});
