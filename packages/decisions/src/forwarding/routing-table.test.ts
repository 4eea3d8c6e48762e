import { expect } from 'chai';
import { CallKind, selectPool, RouteIndex } from './routing-table.ts';
import type { Route, RoutingTable } from './routing-table.ts';

function route(overrides: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'a.example',
    prefix: '/',
    kind: CallKind.Idempotent,
    timeoutMs: 1_000,
    objectiveMs: 100,
    pauseMs: 100,
    targets: [{ pool: 'p', weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
    ...overrides,
  };
}

function table(overrides: Partial<RoutingTable>): RoutingTable {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version: 1, routes: [], pools: [], limits, tokensPerSecond: 0, ...overrides };
}

describe('routing table', () => {
  it('knows the shortest objective of the routes to each pool', () => {
    const routes = [
      route({ objectiveMs: 800, targets: [{ pool: 'llm', weight: 1 }] }),
      route({ objectiveMs: 400, targets: [{ pool: 'llm', weight: 1 }] }),
      route({ objectiveMs: 90, targets: [{ pool: 'api', weight: 1 }] }),
    ];
    const index = new RouteIndex(table({ routes }));
    expect(index.shortestObjectiveMs('llm')).to.equal(400);
    expect(index.shortestObjectiveMs('api')).to.equal(90);
    expect(index.shortestObjectiveMs('none')).to.equal(undefined);
  });

  it('finds the longest prefix of the host, regardless of the case and port of its name', () => {
    const routes = [
      route({ name: 'all' }),
      route({ name: 'deep', prefix: '/x/y/' }),
      route({ name: 'mid', prefix: '/x/' }),
      route({ name: 'other', host: 'b.example', prefix: '/x/y/z/' }),
    ];
    const index = new RouteIndex(table({ routes }));
    expect(index.findRoute('A.Example:8080', '/x/y/z/1')?.name).to.equal('deep');
    expect(index.findRoute('a.example', '/x/1')?.name).to.equal('mid');
    expect(index.findRoute('a.example', '/x')?.name).to.equal('all');
    expect(index.findRoute('c.example', '/x/')).to.equal(undefined);
  });

  it('splits requests by weight, and selects the same pool for the same request', () => {
    const split = route({
      targets: [
        { pool: 'big', weight: 90 },
        { pool: 'small', weight: 10 },
      ],
    });
    const ids = Array.from({ length: 5_000 }, (_, at) => `id-${at}`);
    const small = ids.filter((id) => selectPool(split, id) === 'small').length;
    expect(small).to.be.within(400, 600);
    expect(selectPool(split, 'id-7')).to.equal(selectPool(split, 'id-7'));
  });

  it('never selects a pool with a weight of 0', () => {
    const split = route({
      targets: [
        { pool: 'gone', weight: 0 },
        { pool: 'here', weight: 1 },
      ],
    });
    const picked = new Set(Array.from({ length: 500 }, (_, at) => selectPool(split, `${at}`)));
    expect([...picked]).to.deep.equal(['here']);
  });

  it('finds workspaces by any of their keys, and requires no key on public routes', () => {
    const index = new RouteIndex(table({ workspaces: [{ name: 'w', keys: ['k1', 'k2'] }] }));
    expect(index.findWorkspace('k2')).to.equal('w');
    expect(index.findWorkspace('k3')).to.equal(undefined);
    expect(index.requiresKey(route({}))).to.equal(true);
    expect(index.requiresKey(route({ isPublic: true }))).to.equal(false);
    expect(new RouteIndex(table({})).requiresKey(route({}))).to.equal(false);
  });
});
