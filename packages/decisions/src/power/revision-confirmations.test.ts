import { expect } from 'chai';
import { RevisionConfirmations } from './revision-confirmations.ts';

describe('RevisionConfirmations', () => {
  const routers = ['r1', 'r2'];

  it('subtracts the age of the confirmation by the service', () => {
    const confirmations = new RevisionConfirmations();
    const answer = { router: 'r1', revision: 3, serviceAgeMs: 200 };
    expect(confirmations.recordAnswer(answer, 3, 1_000, routers)).to.equal(800);
  });

  it('needs an answer of every router without the service', () => {
    const confirmations = new RevisionConfirmations();
    expect(confirmations.recordAnswer({ router: 'r1', revision: 3 }, 3, 1_000, routers)).to.equal(
      undefined,
    );
    expect(confirmations.recordAnswer({ router: 'r2', revision: 2 }, 3, 1_100, routers)).to.equal(
      1_000,
    );
  });

  it('does not confirm a revision while a router has a higher one', () => {
    const confirmations = new RevisionConfirmations();
    confirmations.recordAnswer({ router: 'r1', revision: 3 }, 3, 1_000, routers);
    confirmations.recordAnswer({ router: 'r2', revision: 4 }, 3, 1_100, routers);
    expect(confirmations.recordAnswer({ router: 'r2', revision: 3 }, 3, 1_200, routers)).to.equal(
      undefined,
    );
  });

  it('discards the answers about an earlier revision', () => {
    const confirmations = new RevisionConfirmations();
    confirmations.recordAnswer({ router: 'r1', revision: 3 }, 3, 1_000, routers);
    expect(confirmations.recordAnswer({ router: 'r2', revision: 4 }, 4, 1_100, routers)).to.equal(
      undefined,
    );
  });
});
