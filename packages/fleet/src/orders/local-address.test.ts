import { expect } from 'chai';
import { isLocalUrl } from './local-address.ts';

describe('isLocalUrl', () => {
  it('distinguishes loopback and link-local addresses from others', () => {
    expect(isLocalUrl('http://127.0.0.1:8000')).to.equal(true);
    expect(isLocalUrl('http://169.254.10.1:8000/')).to.equal(true);
    expect(isLocalUrl('http://10.0.0.7:8000')).to.equal(false);
    expect(isLocalUrl('http://engine.example:8000')).to.equal(false);
  });
});
