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

/** A model of a fleet: nodes pass versions to their neighbours in any order, with losses. */
class Model {
  readonly nodes: string[];
  readonly plans = new Map<string, DocumentFetchPlanner<string>>();
  private readonly neighbours: Map<string, Set<string>>;
  private readonly held = new Map<string, DocumentVersion[]>();

  constructor(count: number) {
    this.nodes = Array.from({ length: count }, (_, index) => `node-${index}`);
    for (const node of this.nodes) this.plans.set(node, new DocumentFetchPlanner());
    this.neighbours = new Map(this.nodes.map((node) => [node, selectNeighbours(node, this.nodes)]));
  }

  publish(node: string, published: DocumentVersion): void {
    this.take(node, published);
  }

  /** One neighbour's offer arrives and the fetch it leads to ends. */
  deliver(node: string, peer: string, succeeds: boolean): void {
    if (this.neighbours.get(node)?.has(peer) !== true) return;
    const plan = this.plan(node);
    plan.recordOffer(peer, this.plan(peer).newestVersion);
    const fetch = plan.startNext();
    if (fetch === undefined) return;
    plan.completeFetch(fetch, succeeds);
    if (succeeds) this.take(node, fetch.version);
  }

  cut(node: string, peer: string): void {
    this.plan(node).removePeer(peer);
  }

  /** Every link works for as many rounds as there are nodes. */
  heal(): void {
    for (let round = 0; round < NODES; round += 1) {
      for (const node of this.nodes) {
        for (const peer of this.nodes) this.deliver(node, peer, true);
      }
    }
  }

  plan(node: string): DocumentFetchPlanner<string> {
    const plan = this.plans.get(node);
    if (plan === undefined) throw new Error(`no node ${node}`);
    return plan;
  }

  historyOf(node: string): DocumentVersion[] {
    return this.held.get(node) ?? [];
  }

  private take(node: string, taken: DocumentVersion): void {
    const plan = this.plan(node);
    if (!isNewerVersion(taken, plan.newestVersion)) return;
    plan.recordVersion(taken);
    this.held.set(node, [...this.historyOf(node), taken]);
  }
}

function play(
  model: Model,
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

  it('never lets a version fall, and brings every node to the newest once the links work', () => {
    fc.assert(
      fc.property(steps, (played) => {
        const model = new Model(NODES);
        play(model, played);
        model.heal();
        const newest = model.nodes.map((node) => model.plan(node).newestVersion);
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
    const plan = new DocumentFetchPlanner<string>();
    plan.recordOffer('a', { revision: 3, digest: 'x' });
    plan.recordOffer('b', { revision: 5, digest: 'x' });
    const fetch = plan.startNext();
    expect(fetch).to.deep.equal({ peer: 'b', version: { revision: 5, digest: 'x' } });
    expect(plan.startNext()).to.equal(undefined);
  });

  it('asks another peer when one fails, and when one is gone', () => {
    const plan = new DocumentFetchPlanner<string>();
    const offered = { revision: 5, digest: 'x' };
    for (const peer of ['a', 'b', 'c']) plan.recordOffer(peer, offered);
    const first = plan.startNext();
    if (first !== undefined) plan.completeFetch(first, false);
    const second = plan.startNext();
    expect(second?.peer).not.to.equal(first?.peer);
    if (second !== undefined) plan.removePeer(second.peer);
    expect([first?.peer, second?.peer]).not.to.include(plan.startNext()?.peer);
  });

  it('does not fetch again what was refused', () => {
    const plan = new DocumentFetchPlanner<string>();
    const offered = { revision: 5, digest: 'x' };
    plan.recordVersion(offered);
    plan.markRefused(offered, { revision: 4, digest: 'x' });
    expect(plan.newestVersion.revision).to.equal(4);
    plan.recordOffer('a', offered);
    expect(plan.startNext()).to.equal(undefined);
  });
});
