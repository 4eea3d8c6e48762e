import { expect } from 'chai';
import { RouteMoves } from './route-moves.ts';
import { createRoute, createTable } from './testing/resumable-route.ts';

describe('the moves of routes', () => {
  it('count when a route gets other pools or is added, and not when it stays or is first seen', () => {
    const moves = new RouteMoves();
    const a = createRoute('a', ['p', 'q']);
    moves.recordTable(createTable([a], 1), 0);
    expect(moves.hasMoved(a, 0)).to.equal(false);
    moves.recordTable(
      createTable([createRoute('a', ['q', 'p']), createRoute('b', ['p'])], 2),
      1_000,
    );
    expect(moves.hasMoved(a, 0)).to.equal(false);
    expect(moves.hasMoved(createRoute('b', ['p']), 1_000)).to.equal(true);
    moves.recordTable(createTable([createRoute('a', ['p']), createRoute('b', ['p'])], 3), 2_000);
    expect(moves.hasMoved(a, 2_000)).to.equal(true);
    expect(moves.hasMoved(a, 2_001)).to.equal(false);
    expect(moves.hasMoved(createRoute('b', ['p']), 1_001)).to.equal(false);
    expect(moves.hasMoved(createRoute('c', ['p']), 0)).to.equal(true);
  });
});
