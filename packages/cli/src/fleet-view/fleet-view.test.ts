import { expect } from 'chai';
import { buildFleetView, readControlBytes } from './fleet-view.ts';
import type { FleetSnapshot } from '../operator-client.ts';

function createSnapshot(services: Record<string, number>, controlBytes: number): FleetSnapshot {
  const identity = { dataCentre: 'd', pid: 1, rssBytes: 1 };
  const configuration = { revision: 3, preset: 'peak', refused: null };
  const workspaces = Object.entries(services).map(([workspace, service]) => ({
    workspace,
    service,
  }));
  const backlog = ['a', 'b'].map((workspace) => ({ line: { workspace }, count: 2 }));
  return {
    unreachable: [],
    statuses: [
      {
        url: 'http://router',
        status: {
          process: { ...identity, host: 'entry', role: 'router', incarnation: 'i' },
          configuration,
          links: { controlBytes, receivedControlBytes: 0 },
          requests: { open: 5, backlog },
          service: [{ kind: 'model', workspaces }],
        },
      },
      {
        url: 'http://sidecar',
        status: {
          process: { ...identity, host: 'beside', role: 'sidecar', incarnation: 'j' },
          configuration: { ...configuration, revision: 4 },
          admission: { slots: 4, running: 3 },
        },
      },
    ],
  };
}

describe('buildFleetView', () => {
  const firstSnapshot = createSnapshot({ a: 100, b: 50 }, 1_000);
  const previous = buildFleetView({
    snapshot: firstSnapshot,
    configuration: undefined,
    nowMs: 1_000,
  });

  it('sums backlog and slots and lists differing revisions', () => {
    expect(previous.waiting).to.equal(4);
    expect(previous.utilisation).to.equal(0.75);
    expect(previous.revisions).to.deep.equal([3, 4]);
    expect(previous.gap).to.equal(null);
  });

  it('measures rates, shares and the gap between two views', () => {
    const view = buildFleetView({
      snapshot: createSnapshot({ a: 130, b: 60 }, 3_000),
      configuration: undefined,
      previous,
      previousControlBytes: readControlBytes(firstSnapshot),
      nowMs: 3_000,
    });
    expect(view.gap).to.equal(20);
    expect(view.workspaces.map(({ share }) => share)).to.deep.equal([0.75, 0.25]);
    const router = view.hosts.find(({ host }) => host === 'entry');
    expect(router?.controlBytesPerSecond).to.equal(1_000);
  });
});
