import { expect } from 'chai';
import fc from 'fast-check';
import { FairShareOrder } from './fair-share-order.ts';

const SEED = 20261203;

function pickLeastServed(fairShare: FairShareOrder): string {
  const [workspace] = fairShare.rankWaiting();
  return workspace ?? '';
}

describe('FairShareOrder', () => {
  it('ranks the waiting workspaces by service', () => {
    const fairShare = new FairShareOrder();
    fairShare.setService('a', 5);
    fairShare.setService('b', 3);
    fairShare.setService('c', 1);
    fairShare.restoreWaiting('a');
    fairShare.restoreWaiting('b');
    expect([...fairShare.rankWaiting()]).to.deep.equal(['b', 'a']);
  });

  it('gives a workspace no credit for idle time', () => {
    const fairShare = new FairShareOrder();
    fairShare.setService('busy', 1_000);
    fairShare.startWaiting('busy');
    fairShare.startWaiting('idle');
    expect(fairShare.virtualService('idle')).to.equal(1_000);
  });

  it('lifts to the service of the last waiting workspace when none waits any more', () => {
    const fairShare = new FairShareOrder();
    fairShare.setService('busy', 1_000);
    fairShare.startWaiting('busy');
    fairShare.stopWaiting('busy');
    fairShare.startWaiting('idle');
    expect(fairShare.virtualService('idle')).to.equal(1_000);
  });

  it('merges the adjustments of several processes by maximum', () => {
    const fairShare = new FairShareOrder();
    fairShare.mergeAdjustment({ workspace: 'a', lift: 7, forgiven: 0 });
    fairShare.mergeAdjustment({ workspace: 'a', lift: 5, forgiven: 2 });
    expect(fairShare.virtualService('a')).to.equal(5);
  });

  it('bounds how long a workspace waits after a partition has healed', () => {
    const fairShare = new FairShareOrder({ maxServiceLead: 100 });
    for (const workspace of ['both-sides', 'one-side']) fairShare.restoreWaiting(workspace);
    fairShare.setService('both-sides', 10_000);
    fairShare.setService('one-side', 4_000);
    fairShare.forgiveExcessService();
    expect(fairShare.virtualService('both-sides')).to.equal(4_100);
    let service = 4_000;
    while (pickLeastServed(fairShare) === 'one-side')
      fairShare.setService('one-side', (service += 10));
    expect(service).to.be.at.most(4_110);
  });

  it('bounds the service that others receive while a workspace waits', () => {
    const costs = fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 20, maxLength: 200 });
    fc.assert(
      fc.property(costs, fc.integer({ min: 2, max: 8 }), (drawn, count) => {
        const fairShare = new FairShareOrder();
        const service = new Map<string, number>();
        const waitedFor = new Map<string, number>();
        for (let index = 0; index < count; index += 1) fairShare.startWaiting(`w${index}`);
        for (const cost of drawn) {
          const chosen = pickLeastServed(fairShare);
          service.set(chosen, (service.get(chosen) ?? 0) + cost);
          fairShare.setService(chosen, service.get(chosen) ?? 0);
          for (let index = 0; index < count; index += 1) {
            const name = `w${index}`;
            waitedFor.set(name, name === chosen ? 0 : (waitedFor.get(name) ?? 0) + cost);
            // Each other workspace starts at most one cost below this one and ends at most one above.
            expect(waitedFor.get(name)).to.be.at.most(2 * 50 * (count - 1));
          }
        }
      }),
      { seed: SEED },
    );
  });
});
