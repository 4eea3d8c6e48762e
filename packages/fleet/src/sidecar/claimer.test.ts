import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointKind } from '@poplarpick/decisions';
import { Role } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import type { Claim } from '../messages.ts';
import { Claimer } from './claimer.ts';
import { ServiceMeter } from './service-meter.ts';

const SEED = 20261203;

/** A claimer with fake routers, which record the claims they receive and never answer. */
class ClaimerFixture {
  readonly claims: { router: string; claim: Claim }[] = [];
  readonly claimer: Claimer;
  readonly meter = new ServiceMeter();
  totalsChecks = 0;
  private sequence = 0;
  private readonly peers = new Map<string, Peer>();

  constructor() {
    this.claimer = new Claimer({
      meter: this.meter,
      ensureFreshTotals: () => {
        this.totalsChecks += 1;
        return true;
      },
      onAnswer: () => undefined,
    });
    this.claimer.applyConfiguration(
      {
        workspaces: [],
        endpoints: [],
        presets: [{ name: 'p', weights: [] }],
        preset: 'p',
      } as never,
      EndpointKind.Model,
    );
  }

  announce(router: string, workspace: string, count: number): void {
    const lines = [{ pool: 'assistant', workspace, pinned: false, count }];
    this.claimer.updateBacklog(this.getPeer(router), {
      full: false,
      sequence: ++this.sequence,
      lines,
    });
  }

  private getPeer(router: string): Peer {
    const existing = this.peers.get(router);
    if (existing !== undefined) return existing;
    const call = (_method: string, claim: Claim): Promise<never> => {
      this.claims.push({ router, claim });
      return new Promise(() => undefined);
    };
    const created = { host: router, role: Role.Router, link: { call } } as unknown as Peer;
    this.peers.set(router, created);
    this.claimer.addRouter(created);
    return created;
  }
}

describe('Claimer', () => {
  it('leaves no slot idle while a request is waiting, and claims no request twice', () => {
    const backlogLists = fc.uniqueArray(
      fc.record({
        router: fc.constantFrom('r1', 'r2', 'r3'),
        workspace: fc.constantFrom('a', 'b', 'c', 'd'),
        count: fc.integer({ min: 0, max: 5 }),
      }),
      { selector: ({ router, workspace }) => `${router} ${workspace}`, maxLength: 12 },
    );
    fc.assert(
      fc.property(backlogLists, fc.integer({ min: 0, max: 20 }), (backlogs, freeSlots) => {
        const fixture = new ClaimerFixture();
        for (const { router, workspace, count } of backlogs)
          fixture.announce(router, workspace, count);
        fixture.claimer.claimForFreeSlots(freeSlots);
        const waiting = backlogs.reduce((sum, { count }) => sum + count, 0);
        expect(fixture.claims).to.have.length(Math.min(freeSlots, waiting));
        for (const { router, workspace, count } of backlogs) {
          const claimed = fixture.claims.filter(
            (entry) => entry.router === router && entry.claim.lines[0]?.workspace === workspace,
          );
          expect(claimed.length).to.be.at.most(count);
        }
      }),
      { seed: SEED },
    );
  });

  it('claims for the least served workspace, and charges outstanding claims to it', () => {
    const fixture = new ClaimerFixture();
    fixture.announce('r1', 'a', 10);
    fixture.announce('r2', 'b', 10);
    fixture.meter.setOtherService({ workspaces: ['a', 'b'], services: [1_000, 750] });
    fixture.claimer.claimForFreeSlots(4);
    const order = fixture.claims.map(({ claim }) => claim.lines[0]?.workspace);
    // No costs have been recorded yet, so each claim reserves the default cost of 100.
    expect(order).to.deep.equal(['b', 'b', 'b', 'a']);
  });

  it('requests totals only if more than one workspace is waiting', () => {
    const fixture = new ClaimerFixture();
    fixture.announce('r1', 'a', 2);
    fixture.claimer.claimForFreeSlots(1);
    expect(fixture.totalsChecks).to.equal(0);
    fixture.announce('r2', 'b', 2);
    fixture.claimer.claimForFreeSlots(2);
    expect(fixture.totalsChecks).to.equal(1);
  });
});
