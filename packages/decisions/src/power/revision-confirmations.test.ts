import { expect } from 'chai';
import { RevisionConfirmations } from './revision-confirmations.ts';

describe('RevisionConfirmations', () => {
  const routers = ['r1', 'r2'];

  it('counts what the service has said from its age', () => {
    const confirmations = new RevisionConfirmations();
    const answer = { router: 'r1', revision: 3, serviceAgeMs: 200 };
    expect(confirmations.recordAnswer(answer, 3, 1_000, routers)).to.equal(800);
  });

  it('without the service needs every router', () => {
    const confirmations = new RevisionConfirmations();
    expect(confirmations.recordAnswer({ router: 'r1', revision: 3 }, 3, 1_000, routers)).to.equal(
      undefined,
    );
    expect(confirmations.recordAnswer({ router: 'r2', revision: 2 }, 3, 1_100, routers)).to.equal(
      1_000,
    );
  });

  it('takes no confirmation while a router has a higher revision', () => {
    const confirmations = new RevisionConfirmations();
    confirmations.recordAnswer({ router: 'r1', revision: 3 }, 3, 1_000, routers);
    confirmations.recordAnswer({ router: 'r2', revision: 4 }, 3, 1_100, routers);
    expect(confirmations.recordAnswer({ router: 'r2', revision: 3 }, 3, 1_200, routers)).to.equal(
      undefined,
    );
  });

  it('keeps no answers about an earlier revision', () => {
    const confirmations = new RevisionConfirmations();
    confirmations.recordAnswer({ router: 'r1', revision: 3 }, 3, 1_000, routers);
    expect(confirmations.recordAnswer({ router: 'r2', revision: 4 }, 4, 1_100, routers)).to.equal(
      undefined,
    );
  });
});
