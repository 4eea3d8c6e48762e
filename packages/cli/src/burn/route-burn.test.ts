import { expect } from 'chai';
import { computeRouteBurns } from './route-burn.ts';

function scrape(counts: Record<string, [good: number, bad: number]>): string {
  const lines = Object.entries(counts).flatMap(([route, [good, bad]]) => [
    `poplarpick_calls_judged_total{route="${route}",quality="good"} ${good}`,
    `poplarpick_calls_judged_total{quality="bad",route="${route}"} ${bad}`,
  ]);
  return ['# HELP poplarpick_calls_judged_total x', ...lines, 'other_total 5', ''].join('\n');
}

describe('burn between two scrapes', () => {
  it('sums the increases of all routers, the highest burn rate first', () => {
    const pairs = [
      {
        before: scrape({ pay: [100, 0], chat: [50, 50] }),
        after: scrape({ pay: [195, 5], chat: [60, 90] }),
      },
      { before: scrape({ pay: [0, 0] }), after: scrape({ pay: [100, 0] }) },
    ];
    const [chat, pay] = computeRouteBurns(pairs, 0.99);
    expect(chat).to.include({ route: 'chat', good: 10, total: 50 });
    expect(chat?.rate).to.be.closeTo(80, 1e-6);
    expect(pay).to.include({ route: 'pay', good: 195, total: 200 });
    expect(pay?.rate).to.be.closeTo(2.5, 1e-6);
  });

  it('treats a counter that decreased as reset', () => {
    const pairs = [{ before: scrape({ pay: [1_000, 9] }), after: scrape({ pay: [10, 1] }) }];
    expect(computeRouteBurns(pairs, 0.99)[0]).to.include({ good: 10, total: 11 });
  });

  it('returns no routes if nothing was counted', () => {
    expect(computeRouteBurns([{ before: '', after: '' }], 0.99)).to.deep.equal([]);
  });
});
