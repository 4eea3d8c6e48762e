import { expect } from 'chai';
import fc from 'fast-check';
import { selectNeighbours } from '../membership/overlay.ts';
import { isNewer } from './document-version.ts';
import type { DocumentVersion } from './document-version.ts';
import { FetchPlan } from './fetch-plan.ts';

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
  readonly plans = new Map<string, FetchPlan<string>>();
  private readonly neighbours: Map<string, Set<string>>;
  private readonly held = new Map<string, DocumentVersion[]>();

  constructor(count: number) {
    this.nodes = Array.from({ length: count }, (_, index) => `node-${index}`);
    for (const node of this.nodes) this.plans.set(node, new FetchPlan());
    this.neighbours = new Map(this.nodes.map((node) => [node, selectNeighbours(node, this.nodes)]));
  }

  publish(node: string, published: DocumentVersion): void {
    this.take(node, published);
  }

  /** One neighbour's offer arrives and the fetch it leads to ends. */
  deliver(node: string, peer: string, succeeds: boolean): void {
    if (this.neighbours.get(node)?.has(peer) !== true) return;
    const plan = this.plan(node);
    plan.offer(peer, this.plan(peer).newest);
    const fetch = plan.next();
    if (fetch === undefined) return;
    plan.finish(fetch, succeeds);
    if (succeeds) this.take(node, fetch.version);
  }

  cut(node: string, peer: string): void {
    this.plan(node).forget(peer);
  }

  /** Every link works for as many rounds as there are nodes. */
  heal(): void {
    for (let round = 0; round < NODES; round += 1) {
      for (const node of this.nodes) {
        for (const peer of this.nodes) this.deliver(node, peer, true);
      }
    }
  }

  plan(node: string): FetchPlan<string> {
    const plan = this.plans.get(node);
    if (plan === undefined) throw new Error(`no node ${node}`);
    return plan;
  }

  historyOf(node: string): DocumentVersion[] {
    return this.held.get(node) ?? [];
  }

  private take(node: string, taken: DocumentVersion): void {
    const plan = this.plan(node);
    if (!isNewer(taken, plan.newest)) return;
    plan.hold(taken);
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

describe('FetchPlan', () => {
  const steps = fc.array(step, { maxLength: 60 });

  it('never lets a version fall, and brings every node to the newest once the links work', () => {
    fc.assert(
      fc.property(steps, (played) => {
        const model = new Model(NODES);
        play(model, played);
        model.heal();
        const newest = model.nodes.map((node) => model.plan(node).newest);
        for (const reached of newest) expect(reached).to.deep.equal(newest[0]);
        for (const node of model.nodes) {
          const history = model.historyOf(node);
          history.slice(1).forEach((entry, index) => {
            const earlier = history[index];
            expect(earlier !== undefined && isNewer(entry, earlier)).to.equal(true);
          });
        }
      }),
      { seed: 6, numRuns: 60 },
    );
  });

  it('fetches one document at a time, the newest on offer', () => {
    const plan = new FetchPlan<string>();
    plan.offer('a', { revision: 3, digest: 'x' });
    plan.offer('b', { revision: 5, digest: 'x' });
    const fetch = plan.next();
    expect(fetch).to.deep.equal({ peer: 'b', version: { revision: 5, digest: 'x' } });
    expect(plan.next()).to.equal(undefined);
  });

  it('asks another peer when one fails, and when one is gone', () => {
    const plan = new FetchPlan<string>();
    const offered = { revision: 5, digest: 'x' };
    for (const peer of ['a', 'b', 'c']) plan.offer(peer, offered);
    const first = plan.next();
    if (first !== undefined) plan.finish(first, false);
    const second = plan.next();
    expect(second?.peer).not.to.equal(first?.peer);
    if (second !== undefined) plan.forget(second.peer);
    expect([first?.peer, second?.peer]).not.to.include(plan.next()?.peer);
  });

  it('does not fetch again what was refused', () => {
    const plan = new FetchPlan<string>();
    const offered = { revision: 5, digest: 'x' };
    plan.hold(offered);
    plan.refuse(offered, { revision: 4, digest: 'x' });
    expect(plan.newest.revision).to.equal(4);
    plan.offer('a', offered);
    expect(plan.next()).to.equal(undefined);
  });
});
