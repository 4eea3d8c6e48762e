import { expect } from 'chai';
import fc from 'fast-check';
import { findIdentityMismatch, formatIdentity, parseIdentity } from './certificate-identity.ts';

describe('certificate identity', () => {
  const text = fc.string({ minLength: 1 });

  it('parses what was formatted, for any names', () => {
    fc.assert(
      fc.property(text, text, text, (fleet, role, host) => {
        const identity = { fleet, role, host };
        expect(parseIdentity(`URI:${formatIdentity(identity)}`)).to.deep.equal(identity);
      }),
      { seed: 4 },
    );
  });

  it('is undefined for other kinds of names, and for two identities', () => {
    const uri = `URI:${formatIdentity({ fleet: 'f', role: 'router', host: 'h' })}`;
    expect(parseIdentity(undefined)).to.equal(undefined);
    expect(parseIdentity('DNS:poplarpick://f/router/h')).to.equal(undefined);
    expect(parseIdentity(`${uri}, ${uri}`)).to.equal(undefined);
    expect(parseIdentity('URI:poplarpick://f/router')).to.equal(undefined);
    expect(parseIdentity('URI:poplarpick://f//h')).to.equal(undefined);
  });

  it('must match in fleet, role and host', () => {
    const identity = { fleet: 'f', role: 'router', host: 'h' };
    expect(findIdentityMismatch(identity, identity)).to.equal(undefined);
    expect(findIdentityMismatch(identity, { ...identity, fleet: 'g' })).to.contain('fleet');
    expect(findIdentityMismatch(identity, { ...identity, role: 'sidecar' })).to.contain('role');
    expect(findIdentityMismatch(identity, { ...identity, host: 'i' })).to.contain('host');
  });
});
