import { expect } from 'chai';
import { CallKind } from '@poplarpick/decisions';
import type { Route, RoutingTable } from '@poplarpick/decisions';
import { RouteMoves } from './route-moves.ts';

function route(prefix: string, pools: string[]): Route {
  return {
    name: prefix,
    host: 'h',
    prefix,
    kind: CallKind.Stream,
    timeoutMs: 10_000,
    objectiveMs: 500,
    pauseMs: 500,
    targets: pools.map((pool) => ({ pool, weight: 1 })),
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
  };
}

function table(version: number, routes: Route[]): RoutingTable {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes, pools: [], limits, tokensPerSecond: 0 };
}

describe('the moves of routes', () => {
  it('count when a route gets other pools or is added, and not when it stays or is first seen', () => {
    const moves = new RouteMoves();
    const a = route('/a/', ['p', 'q']);
    moves.recordTable(table(1, [a]), 0);
    expect(moves.hasMoved(a, 0)).to.equal(false);
    moves.recordTable(table(2, [route('/a/', ['q', 'p']), route('/b/', ['p'])]), 1_000);
    expect(moves.hasMoved(a, 0)).to.equal(false);
    expect(moves.hasMoved(route('/b/', ['p']), 1_000)).to.equal(true);
    moves.recordTable(table(3, [route('/a/', ['p']), route('/b/', ['p'])]), 2_000);
    expect(moves.hasMoved(a, 2_000)).to.equal(true);
    expect(moves.hasMoved(a, 2_001)).to.equal(false);
    expect(moves.hasMoved(route('/b/', ['p']), 1_001)).to.equal(false);
    expect(moves.hasMoved(route('/c/', ['p']), 0)).to.equal(true);
  });
});
