import { expect } from 'chai';
import fc from 'fast-check';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { PeerTable } from './peer-table.ts';
import type { PeerReport } from './peer-table.ts';
import { decodeReport, encodeReport, MAX_DATAGRAM_BYTES } from './report-codec.ts';
import { ReportExchange } from './report-exchange.ts';
import type { ReportBody } from './report-exchange.ts';
import { makeReport } from './testing-reports.ts';

const TURNS = 12;
const NOISE_DATAGRAMS = 10_000;
const FUZZ_OPTIONS = { seed: 5, numRuns: 1_000 };

/** A clock that stands at the time of the test. */
class TestClock extends SystemClock {
  nowMs = 0;

  override monotonic(): number {
    return this.nowMs;
  }
}

/** One router whose datagrams are kept. */
class TestRouter {
  readonly clock = new TestClock();
  readonly table = new PeerTable();
  readonly received: PeerReport[] = [];
  readonly logLines: string[] = [];
  rejected = 0;
  sent: { target: string; report: PeerReport }[] = [];
  body: ReportBody = { version: 1, loads: [], kept: [], lateRates: [], refused: [], draining: [] };
  readonly exchange: ReportExchange;

  constructor(address: string, dataCentre: string) {
    this.exchange = new ReportExchange({
      address,
      dataCentre,
      clock: this.clock,
      log: createLogger({ level: LogLevel.Info, write: (line) => this.logLines.push(line) }),
      table: this.table,
      buildReport: () => this.body,
      onReport: (report) => this.received.push(report),
      onRejected: () => (this.rejected += 1),
      transmit: (target, message) => {
        this.sent.push({ target, report: decodeReport(message) });
      },
    });
  }

  receive(report: PeerReport, sender = report.from): void {
    this.exchange.receive(encodeReport(report) ?? Buffer.alloc(0), sender);
  }

  /** Lets some turns pass, in which the given routers report. */
  run(peers: readonly PeerReport[], turns = TURNS): void {
    for (let turn = 0; turn < turns; turn += 1) {
      this.clock.nowMs += 100;
      for (const peer of peers) this.receive({ ...peer, sequence: this.clock.nowMs });
      this.exchange.send();
    }
  }

  sentTo(target: string): PeerReport[] {
    return this.sent.filter((entry) => entry.target === target).map(({ report }) => report);
  }
}

describe('exchange of reports', () => {
  it('sends a router of an older version the report of every turn, and takes its reports', () => {
    const router = new TestRouter('10.0.0.1:1', 'a');
    const older = makeReport({ from: '10.0.0.9:1', loads: [[7, 1, 0, 0, 0]] });
    router.run([older]);
    expect(router.sentTo(older.from)).to.have.length(TURNS);
    expect(router.sentTo(older.from).every(({ routers }) => routers === undefined)).to.equal(true);
    expect(router.table.countRouters(router.clock.nowMs)).to.equal(2);
    expect(router.received.at(-1)?.loads).to.deep.equal([[7, 1, 0, 0, 0]]);
  });

  it('sends sums to one relay of another data centre, and passes on what comes from there', () => {
    const router = new TestRouter('10.0.0.1:1', 'a');
    router.body = { ...router.body, loads: [[7, 1, 100, 0, 5]] };
    const neighbour = makeReport({ dataCentre: 'a', loads: [[7, 2, 50, 1, 5]] });
    const remote = makeReport({
      from: '10.1.0.1:1',
      dataCentre: 'b',
      routers: 1,
      members: [['10.1.0.1:1', 'b']],
    });
    router.run([neighbour, remote]);
    const groupReports = router.sentTo(remote.from);
    expect(groupReports.length).to.be.within(TURNS / 2 - 2, TURNS / 2);
    expect(groupReports.at(-1)).to.deep.include({ routers: 2, loads: [[7, 3, 150, 1, 10]] });
    const passedOn = router.sentTo(neighbour.from).filter(({ from }) => from === remote.from);
    expect(passedOn.length).to.be.greaterThan(TURNS - 3);
  });

  it('does not pass on a group report that was passed on to it', () => {
    const router = new TestRouter('10.0.0.1:1', 'a');
    const neighbour = makeReport({ dataCentre: 'a' });
    router.run([neighbour]);
    router.sent = [];
    const remote = makeReport({ from: '10.1.0.1:1', dataCentre: 'b', routers: 3 });
    router.receive(remote, neighbour.from);
    expect(router.sent).to.deep.equal([]);
    expect(router.table.countRouters(router.clock.nowMs)).to.equal(5);
  });

  it('counts the routers of a data centre once, whichever relay reports', () => {
    const router = new TestRouter('10.0.0.1:1', 'a');
    for (const from of ['10.1.0.1:1', '10.1.0.2:1', '10.1.0.1:1']) {
      const sequence = router.received.length + 1;
      router.receive(makeReport({ from, sequence, dataCentre: 'b', routers: 4 }));
    }
    expect(router.table.countRouters(0)).to.equal(5);
  });

  it('passes the announcement of any router on to another data centre exactly once', () => {
    const addresses = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
    const remote = makeReport({
      from: '10.1.0.1:1',
      dataCentre: 'b',
      routers: 1,
      members: [['10.1.0.1:1', 'b']],
    });
    for (const origin of addresses) {
      let passedOn = 0;
      for (const address of addresses) {
        const router = new TestRouter(address, 'a');
        const neighbours = addresses
          .filter((other) => other !== address)
          .map((from) => makeReport({ from, dataCentre: 'a' }));
        router.run([...neighbours, remote]);
        const announcing = makeReport({ from: origin, dataCentre: 'a', sequence: 99_999 });
        if (address === origin) router.body = { ...router.body, refused: [42] };
        else router.receive({ ...announcing, refused: [42] });
        router.run([], 1);
        router.body = { ...router.body, refused: [] };
        router.run([...neighbours, remote], 4);
        const groupReports = router.sentTo(remote.from);
        passedOn += groupReports.filter(({ refused }) => refused?.includes(42)).length;
      }
      expect(passedOn, origin).to.equal(1);
    }
  });

  it('tells a router that knows fewer members who they are', () => {
    const seed = new TestRouter('10.0.0.1:1', 'a');
    seed.run([makeReport({ dataCentre: 'a' })]);
    const newcomer = makeReport({ from: '10.1.0.1:1', dataCentre: 'b', knownMembers: 0 });
    seed.receive(newcomer);
    const [introduction] = seed.sentTo(newcomer.from);
    expect(introduction?.members).to.deep.include(['10.0.0.2:1', 'a']);
    expect(introduction?.knownMembers).to.equal(2);
  });

  it('does not keep a dead member alive because others name it', () => {
    const router = new TestRouter('10.0.0.1:1', 'a');
    const dead: [string, string] = ['10.1.0.9:1', 'b'];
    router.run([makeReport({ dataCentre: 'a', members: [dead] })], 60);
    const listed = router
      .sentTo('10.0.0.2:1')
      .filter(({ members }) => members !== undefined)
      .at(-1);
    expect(listed?.members).not.to.deep.include(dead);
  });

  it('ignores invalid datagrams and logs them once a minute', () => {
    const router = new TestRouter('10.0.0.1:1', 'a');
    const valid = encodeReport(makeReport({ dataCentre: 'a', loads: [[1, 2, 3, 4, 5]] }));
    if (valid === undefined) throw new Error('the report is too large');
    fc.assert(
      fc.property(fc.nat(valid.length - 1), fc.nat(255), fc.boolean(), (at, byte, isCut) => {
        const message = Buffer.from(isCut ? valid.subarray(0, at) : valid);
        if (!isCut) message[at] = byte;
        router.exchange.receive(message, '10.0.0.2:1');
      }),
      FUZZ_OPTIONS,
    );
    expect(router.logLines.filter((line) => line.includes('unreadable'))).to.have.length(1);
    router.clock.nowMs += 60_000;
    router.exchange.receive(Buffer.from('noise'), '10.0.0.2:1');
    expect(router.logLines.filter((line) => line.includes('unreadable'))).to.have.length(2);
  });
});

describe('report datagrams', () => {
  it('leave out the least needed entries, and are never larger than the bound', () => {
    const refused = Array.from({ length: 4_000 }, (_, index) => 4_000_000_000 + index);
    const loads = Array.from(
      { length: 200 },
      (_, index): [number, number, number, number, number] => [
        4_000_000_000 + index,
        9,
        90_000,
        9,
        400_000,
      ],
    );
    const message = encodeReport(makeReport({ refused, loads, draining: [1] }));
    expect(message?.length).to.be.at.most(MAX_DATAGRAM_BYTES);
    const decoded = decodeReport(message ?? Buffer.alloc(0));
    expect(decoded.loads).to.have.length(200);
    expect(decoded.refused).to.deep.equal([]);
    expect(decoded.draining).to.deep.equal([1]);
    const tooMany = Array.from({ length: 10 }, () => loads).flat();
    expect(encodeReport(makeReport({ loads: tooMany }))).to.equal(undefined);
  });

  const forgeries: [name: string, forged: Partial<PeerReport>][] = [
    ['a sender without a port', { from: 'noise' }],
    ['a sender with an impossible port', { from: '10.0.0.2:70000' }],
    ['a sender that is no IP address', { from: '10.0.0;2:1' }],
    ['a peer that is no address', { peers: ['noise'] }],
    ['a member that is no address', { members: [['noise', 'a']] }],
    ['a negative load', { loads: [[1, -2, 3, 4, 5]] }],
    ['an absurdly large load', { loads: [[1, 2, 1e300, 4, 5]] }],
    ['a negative usage', { workspaces: [['w', -1, 0, 0]] }],
    ['an absurdly large usage', { workspaces: [['w', 1e300, 0, 0]] }],
    ['a fractional usage', { workspaces: [['w', 0.1, 0, 0]] }],
    ['a late rate above 1', { lateRates: [[1, 1.5]] }],
  ];
  for (const [name, forged] of forgeries) {
    it(`are rejected with ${name}`, () => {
      const router = new TestRouter('10.0.0.1:1', 'a');
      router.receive(makeReport({ dataCentre: 'a', ...forged }));
      expect(router.received).to.deep.equal([]);
      expect(router.rejected).to.equal(1);
    });
  }

  it('are dropped and counted by the thousand, while valid ones are accepted', () => {
    const router = new TestRouter('10.0.0.1:1', 'a');
    const valid = makeReport({ dataCentre: 'a', loads: [[1, 2, 3, 4, 5]] });
    const encoded = encodeReport(valid) ?? Buffer.alloc(0);
    const cut = encoded.subarray(0, encoded.length / 2);
    for (let count = 0; count < NOISE_DATAGRAMS; count += 1) {
      router.exchange.receive(cut, '10.0.0.2:1');
    }
    router.receive(valid);
    expect(router.rejected).to.equal(NOISE_DATAGRAMS);
    expect(router.logLines.filter((line) => line.includes('unreadable'))).to.have.length(1);
    expect(router.received).to.have.length(1);
  });
});
