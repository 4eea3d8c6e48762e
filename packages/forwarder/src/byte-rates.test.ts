import { expect } from 'chai';
import { ByteRates } from './byte-rates.ts';

describe('the bytes of callers', () => {
  it('are those of the latest second that has ended', () => {
    const rates = new ByteRates(0);
    rates.record({ received: 300, sent: 20 }, 100);
    rates.record({ received: 300, sent: 20 }, 900);
    expect(rates.read(999)).to.deep.equal({ received: 0, sent: 0 });
    expect(rates.read(1_000)).to.deep.equal({ received: 600, sent: 40 });
    expect(rates.read(2_000)).to.deep.equal({ received: 0, sent: 0 });
  });
});
