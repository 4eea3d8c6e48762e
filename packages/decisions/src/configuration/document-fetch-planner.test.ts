import { expect } from 'chai';
import fc from 'fast-check';
import { selectNeighbours } from '../membership/overlay.ts';
import { isNewerVersion } from './document-version.ts';
import type { DocumentVersion } from './document-version.ts';
import { DocumentFetchPlanner } from './document-fetch-planner.ts';

const NODES = 12;

const version = fc.record({
  revision: fc.integer({ min: 1, max: 6 }),
  digest: fc.constantFrom('a', 'b'),
});

enum StepKind {
  Publish = 'publish',
  Deliver = 'deliver',
  Cut = 'cut',
  Fail = 'fail',
}

const step = fc.record({
  kind: fc.constantFrom(...Object.values(StepKind)),
  node: fc.nat(NODES - 1),
  peer: fc.nat(NODES - 1),
  version,
});

/** Model of a fleet whose nodes offer versions to their neighbours in any order, with failures. */
class FleetModel {
  readonly nodes: string[];
  readonly planners = new Map<string, DocumentFetchPlanner<string>>();
  private readonly neighbours: Map<string, Set<string>>;
  private readonly historyByNode = new Map<string, DocumentVersion[]>();

  constructor(count: number) {
    this.nodes = Array.from({ length: count }, (_, index) => `node-${index}`);
    for (const node of this.nodes) this.planners.set(node, new DocumentFetchPlanner());
    this.neighbours = new Map(this.nodes.map((node) => [node, selectNeighbours(node, this.nodes)]));
  }

  publish(node: string, published: DocumentVersion): void {
    this.store(node, published);
  }

  /** Delivers the offer of one neighbour and completes the fetch that it causes. */
  deliver(node: string, peer: string, succeeds: boolean): void {
    if (this.neighbours.get(node)?.has(peer) !== true) return;
    const planner = this.planner(node);
    planner.recordOffer(peer, this.planner(peer).newestVersion);
    const fetch = planner.startNext();
    if (fetch === undefined) return;
    planner.completeFetch(fetch, succeeds);
    if (succeeds) this.store(node, fetch.version);
  }

  cut(node: string, peer: string): void {
    this.planner(node).removePeer(peer);
  }

  /** Delivers all offers on all links, for as many rounds as there are nodes. */
  heal(): void {
    for (let round = 0; round < NODES; round += 1) {
      for (const node of this.nodes) {
        for (const peer of this.nodes) this.deliver(node, peer, true);
      }
    }
  }

  planner(node: string): DocumentFetchPlanner<string> {
    const planner = this.planners.get(node);
    if (planner === undefined) throw new Error(`no node ${node}`);
    return planner;
  }

  historyOf(node: string): DocumentVersion[] {
    return this.historyByNode.get(node) ?? [];
  }

  private store(node: string, version: DocumentVersion): void {
    const planner = this.planner(node);
    if (!isNewerVersion(version, planner.newestVersion)) return;
    planner.recordVersion(version);
    this.historyByNode.set(node, [...this.historyOf(node), version]);
  }
}

function runSteps(
  model: FleetModel,
  steps: readonly { kind: StepKind; node: number; peer: number; version: DocumentVersion }[],
): void {
  for (const { kind, node, peer, version: published } of steps) {
    const [from = '', to = ''] = [model.nodes[node], model.nodes[peer]];
    if (kind === StepKind.Publish) model.publish(from, published);
    else if (kind === StepKind.Cut) model.cut(from, to);
    else if (from !== to) model.deliver(from, to, kind === StepKind.Deliver);
  }
}

describe('DocumentFetchPlanner', () => {
  const steps = fc.array(step, { maxLength: 60 });

  it('never goes back to an older version, and converges on the newest once links recover', () => {
    fc.assert(
      fc.property(steps, (stepList) => {
        const model = new FleetModel(NODES);
        runSteps(model, stepList);
        model.heal();
        const newest = model.nodes.map((node) => model.planner(node).newestVersion);
        for (const reached of newest) expect(reached).to.deep.equal(newest[0]);
        for (const node of model.nodes) {
          const history = model.historyOf(node);
          history.slice(1).forEach((entry, index) => {
            const earlier = history[index];
            expect(earlier !== undefined && isNewerVersion(entry, earlier)).to.equal(true);
          });
        }
      }),
      { seed: 6, numRuns: 60 },
    );
  });

  it('fetches one document at a time, the newest on offer', () => {
    const planner = new DocumentFetchPlanner<string>();
    planner.recordOffer('a', { revision: 3, digest: 'x' });
    planner.recordOffer('b', { revision: 5, digest: 'x' });
    const fetch = planner.startNext();
    expect(fetch).to.deep.equal({ peer: 'b', version: { revision: 5, digest: 'x' } });
    expect(planner.startNext()).to.equal(undefined);
  });

  it('fetches from another peer when one fails or disconnects', () => {
    const planner = new DocumentFetchPlanner<string>();
    const offered = { revision: 5, digest: 'x' };
    for (const peer of ['a', 'b', 'c']) planner.recordOffer(peer, offered);
    const first = planner.startNext();
    if (first !== undefined) planner.completeFetch(first, false);
    const second = planner.startNext();
    expect(second?.peer).not.to.equal(first?.peer);
    if (second !== undefined) planner.removePeer(second.peer);
    expect([first?.peer, second?.peer]).not.to.include(planner.startNext()?.peer);
  });

  it('does not fetch a refused version again', () => {
    const planner = new DocumentFetchPlanner<string>();
    const offered = { revision: 5, digest: 'x' };
    planner.recordVersion(offered);
    planner.markRefused(offered, { revision: 4, digest: 'x' });
    expect(planner.newestVersion.revision).to.equal(4);
    planner.recordOffer('a', offered);
    expect(planner.startNext()).to.equal(undefined);
  });
});
