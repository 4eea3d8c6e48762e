import { expect } from 'chai';
import fc from 'fast-check';
import type { Endpoint } from './endpoint.ts';
import { VersionHistory } from './version-history.ts';

const HORIZON_MS = 20_000;
const MAX_LIST_AGE_MS = 3_000;
const POOL = 'p';

function endpoint(version: string | undefined, pool = POOL): Endpoint {
  const common = { startedAt: 0, address: '10.0.0.1:80', dataCentre: 'z', slots: 8 };
  return { ...common, id: `${pool}-${version ?? ''}`, pool, version, isDraining: false };
}

function findOnly(history: VersionHistory, endpoints: Endpoint[], now: number): string | undefined {
  const horizonMs = HORIZON_MS;
  const maxListAgeMs = MAX_LIST_AGE_MS;
  return history.findOnlyVersion({ pool: POOL, endpoints, horizonMs, maxListAgeMs, now });
}

/** A history that reaches back further than the horizon at time 0. */
function makeLongHistory(): VersionHistory {
  const history = new VersionHistory({ isFirstStart: true });
  history.confirm(0, false);
  return history;
}

describe('the history of versions', () => {
  it('knows nothing after a restart until it has seen a whole horizon', () => {
    const history = new VersionHistory({ isFirstStart: false });
    expect(findOnly(history, [endpoint('v1')], 0)).to.equal(undefined);
    history.confirm(0, false);
    history.confirm(HORIZON_MS - 1, true);
    expect(findOnly(history, [endpoint('v1')], HORIZON_MS - 1)).to.equal(undefined);
    history.confirm(HORIZON_MS, true);
    expect(findOnly(history, [endpoint('v1')], HORIZON_MS)).to.equal('v1');
  });

  it('names the only version at once on the first start of the system', () => {
    expect(findOnly(makeLongHistory(), [endpoint('v1'), endpoint('v2', 'other')], 1)).to.equal(
      'v1',
    );
  });

  it('names none while several versions are listed, or one that is unreadable, or none', () => {
    const history = makeLongHistory();
    expect(findOnly(history, [endpoint('v1'), endpoint('v2')], 1)).to.equal(undefined);
    expect(findOnly(history, [endpoint('v1'), endpoint(undefined)], 1)).to.equal(undefined);
    expect(findOnly(history, [endpoint(undefined)], 1)).to.equal(undefined);
    expect(findOnly(history, [], 1)).to.equal(undefined);
  });

  it('names none until another version has been gone for a horizon', () => {
    const history = makeLongHistory();
    history.recordDeparted(endpoint('v1'), 1_000);
    history.confirm(1_000 + HORIZON_MS, true);
    expect(findOnly(history, [endpoint('v2')], 1_000 + HORIZON_MS)).to.equal(undefined);
    expect(findOnly(history, [endpoint('v2')], 1_001 + HORIZON_MS)).to.equal('v2');
  });

  it('names none while its list is old, and begins anew after a gap with unknown changes', () => {
    const history = makeLongHistory();
    expect(findOnly(history, [endpoint('v1')], MAX_LIST_AGE_MS + 1)).to.equal(undefined);
    history.confirm(8_000, false);
    expect(findOnly(history, [endpoint('v1')], 8_000)).to.equal(undefined);
    history.confirm(8_000 + HORIZON_MS, true);
    expect(findOnly(history, [endpoint('v1')], 8_000 + HORIZON_MS)).to.equal('v1');
  });

  it('outlives a gap all of whose changes were applied', () => {
    const history = makeLongHistory();
    history.confirm(8_000, true);
    expect(findOnly(history, [endpoint('v1')], 8_000)).to.equal('v1');
  });

  it('begins anew when the host was suspended', () => {
    const history = makeLongHistory();
    history.reset(0);
    expect(findOnly(history, [endpoint('v1')], 1)).to.equal(undefined);
  });

  it('is handed on to a router that starts, with the versions that have left', () => {
    const old = makeLongHistory();
    old.recordDeparted(endpoint('v1'), 5_000);
    old.confirm(10_000, true);
    const restarted = new VersionHistory({ isFirstStart: false });
    restarted.applyReport(old.buildReport([], 10_000), 10_000);
    restarted.confirm(10_000, false);
    expect(findOnly(restarted, [endpoint('v2')], 10_000)).to.equal(undefined);
    restarted.applyReport(old.buildReport([], 10_000), 10_000);
    expect(findOnly(restarted, [endpoint('v2')], 10_000)).to.equal(undefined);
    restarted.confirm(5_001 + HORIZON_MS, true);
    expect(findOnly(restarted, [endpoint('v2')], 5_001 + HORIZON_MS)).to.equal('v2');
  });

  // Guards against a router out of step that takes the version it knows for the only one.
  it('tells a router that has not seen it yet of a version that is listed beside another', () => {
    const listed = [endpoint('v1'), endpoint('v2'), endpoint('v1', 'other')];
    const behind = makeLongHistory();
    const report = makeLongHistory().buildReport(listed, 0);
    expect(report.departedVersions).to.have.deep.members([
      [POOL, 'v1', 0],
      [POOL, 'v2', 0],
    ]);
    behind.applyReport(report, 1);
    expect(findOnly(behind, [endpoint('v1')], 1)).to.equal(undefined);
  });

  it('tells such a router of a version that is listed in the place of another', () => {
    const history = makeLongHistory();
    history.recordDeparted(endpoint('v1'), 0);
    const behind = makeLongHistory();
    behind.applyReport(history.buildReport([endpoint('v2')], 1), 1);
    expect(findOnly(behind, [endpoint('v1')], 1)).to.equal(undefined);
  });

  it('says nothing of a version that is the only one of its pool', () => {
    const report = makeLongHistory().buildReport([endpoint('v1'), endpoint('v2', 'other')], 0);
    expect(report).not.to.have.property('departedVersions');
  });

  it('is not handed on while too many versions have left to tell them all', () => {
    const history = makeLongHistory();
    for (let version = 0; version <= 100; version += 1)
      history.recordDeparted(endpoint(`v${version}`), 0);
    expect(history.buildReport([], 1)).to.deep.equal({});
    expect(history.buildReport([], 3_600_001).versionsKnownMs).to.equal(3_600_000);
  });

  it('forgets a version in time although two routers keep telling it to each other late', () => {
    const routers = [makeLongHistory(), makeLongHistory()] as const;
    routers[0].recordDeparted(endpoint('v1'), 0);
    let now = 0;
    const delayMs = 90;
    while (now < HORIZON_MS + 2_000) {
      const reports = routers.map((router) => router.buildReport([], now));
      now += delayMs;
      routers[0].applyReport(reports[1] ?? {}, now);
      routers[1].applyReport(reports[0] ?? {}, now);
    }
    for (const router of routers) {
      router.confirm(now, true);
      expect(findOnly(router, [endpoint('v2')], now)).to.equal('v2');
    }
  });

  it('never names a version while another one was listed within the horizon', () => {
    const changeArbitrary = fc.record({
      pauseMs: fc.integer({ min: 0, max: 9_000 }),
      version: fc.constantFrom('v1', 'v2', 'v3'),
      isAdded: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(changeArbitrary, { maxLength: 30 }), (changes) => {
        const history = makeLongHistory();
        const listed = new Map<string, Endpoint>();
        const lastListedAt = new Map<string, number>();
        let now = 0;
        for (const { pauseMs, version, isAdded } of changes) {
          now += pauseMs;
          for (const each of listed.keys()) lastListedAt.set(each, now);
          if (isAdded) listed.set(version, endpoint(version));
          else if (listed.delete(version)) history.recordDeparted(endpoint(version), now);
          if (isAdded) lastListedAt.set(version, now);
          history.confirm(now, true);
          const only = findOnly(history, [...listed.values()], now);
          if (only === undefined) continue;
          const recent = [...lastListedAt].filter(([, at]) => at >= now - HORIZON_MS);
          expect(recent.map(([each]) => each)).to.deep.equal([only]);
        }
      }),
    );
  });
});
