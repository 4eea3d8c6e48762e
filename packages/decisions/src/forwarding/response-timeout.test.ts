import { expect } from 'chai';
import { ResponseTimeout } from './response-timeout.ts';

describe('the timeout for responses', () => {
  it('grows while responses are late, up to its maximum', () => {
    const timeout = new ResponseTimeout({ initialMs: 700, maxMs: 1_500 });
    const seen = [1, 2, 3].map(() => {
      timeout.recordTimeout();
      return timeout.currentMs;
    });
    expect(seen).to.deep.equal([1_400, 1_500, 1_500]);
  });

  // A timeout that was back at once would fail every second request.
  it('stays while responses need it, and shrinks again to where it began', () => {
    const timeout = new ResponseTimeout({ initialMs: 700, maxMs: 1_500 });
    timeout.recordTimeout();
    timeout.recordResponse(900);
    expect(timeout.currentMs).to.equal(1_400);
    timeout.recordResponse(10);
    timeout.recordResponse(10);
    expect(timeout.currentMs).to.equal(700);
  });
});
