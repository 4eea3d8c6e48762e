import { expect } from 'chai';
import type { WorkspaceUsage } from '@poplarpick/decisions';
import { PEER_TTL_MS, PeerTable } from './peer-table.ts';
import { makeReport } from './testing-reports.ts';

const USAGE: WorkspaceUsage[] = [['a', 30, 20, 10]];

describe('PeerTable', () => {
  it('counts the usage that a peer reported last, also after reports without any', () => {
    const table = new PeerTable();
    table.accept(makeReport({ sequence: 1, workspaces: USAGE }), 0);
    table.accept(makeReport({ sequence: 2 }), 100);
    expect([...table.workspaceUsage(100)]).to.deep.equal(USAGE);
  });

  it('adds up the usage of several peers, until they have been silent for a while', () => {
    const table = new PeerTable();
    table.accept(makeReport({ from: 'x', workspaces: USAGE }), 0);
    table.accept(makeReport({ from: 'y', workspaces: USAGE }), 100);
    expect([...table.workspaceUsage(100)]).to.deep.equal([['a', 60, 40, 20]]);
    expect([...table.workspaceUsage(PEER_TTL_MS + 50)]).to.deep.equal(USAGE);
    expect([...table.workspaceUsage(PEER_TTL_MS + 150)]).to.deep.equal([]);
  });

  it('tells the ages of live reports, apart for the own data centre and for others', () => {
    const table = new PeerTable();
    table.accept(makeReport({ from: 'silent', dataCentre: 'a' }), 0);
    table.accept(makeReport({ from: 'x', dataCentre: 'a' }), PEER_TTL_MS);
    table.accept(makeReport({ from: 'y', dataCentre: 'b', routers: 3 }), PEER_TTL_MS + 20);
    expect(table.reportAges('a', PEER_TTL_MS + 50)).to.deep.equal({ local: [50], remote: [30] });
  });
});
