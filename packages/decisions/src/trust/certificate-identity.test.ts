import { expect } from 'chai';
import fc from 'fast-check';
import { findMismatch, formatIdentity, readIdentity } from './certificate-identity.ts';

describe('certificate identity', () => {
  const text = fc.string({ minLength: 1 });

  it('is read back as it was written, whatever the names are', () => {
    fc.assert(
      fc.property(text, text, text, (fleet, role, host) => {
        const identity = { fleet, role, host };
        expect(readIdentity(`URI:${formatIdentity(identity)}`)).to.deep.equal(identity);
      }),
      { seed: 4 },
    );
  });

  it('is not taken from other names, nor where there are two', () => {
    const uri = `URI:${formatIdentity({ fleet: 'f', role: 'router', host: 'h' })}`;
    expect(readIdentity(undefined)).to.equal(undefined);
    expect(readIdentity('DNS:poplarpick://f/router/h')).to.equal(undefined);
    expect(readIdentity(`${uri}, ${uri}`)).to.equal(undefined);
    expect(readIdentity('URI:poplarpick://f/router')).to.equal(undefined);
    expect(readIdentity('URI:poplarpick://f//h')).to.equal(undefined);
  });

  it('must agree in fleet, role and host', () => {
    const identity = { fleet: 'f', role: 'router', host: 'h' };
    expect(findMismatch(identity, identity)).to.equal(undefined);
    expect(findMismatch(identity, { ...identity, fleet: 'g' })).to.contain('fleet');
    expect(findMismatch(identity, { ...identity, role: 'sidecar' })).to.contain('role');
    expect(findMismatch(identity, { ...identity, host: 'i' })).to.contain('host');
  });
});
