import { expect } from 'chai';
import { CapTimeline } from './cap-timeline.ts';

describe('CapTimeline', () => {
  function createTimeline(propagationMs: number): CapTimeline {
    const caps = new CapTimeline({ propagationMs, settleMs: 1_000 });
    caps.publish(500, 0);
    caps.publish(300, 5_000);
    caps.publish(700, 8_000);
    return caps;
  }

  it('lowers the cap once the lower one is expected in all processes', () => {
    expect(createTimeline(0).effectiveCapAt(5_000)).to.equal(300);
    expect(createTimeline(200).effectiveCapAt(5_199)).to.equal(500);
    expect(createTimeline(200).effectiveCapAt(5_200)).to.equal(300);
  });

  it('raises the cap only after the settle time', () => {
    expect(createTimeline(0).effectiveCapAt(8_999)).to.equal(300);
    expect(createTimeline(0).effectiveCapAt(9_000)).to.equal(700);
  });
});
