import { expect } from 'chai';
import { FairnessMeter } from './fairness-gap.ts';

function sample(workspace: string, service: number, backlogged = true) {
  return { workspace, service, backlogged };
}

describe('FairnessMeter', () => {
  it('measures the range of the difference within a window of common backlog', () => {
    const meter = new FairnessMeter();
    meter.addSamples([sample('a', 0), sample('b', 0)]);
    meter.addSamples([sample('a', 30), sample('b', 10)]);
    meter.addSamples([sample('a', 30), sample('b', 40)]);
    expect(meter.computeGap().max).to.equal(30);
  });

  it('begins a new window when a workspace was not backlogged in between', () => {
    const meter = new FairnessMeter();
    meter.addSamples([sample('a', 0), sample('b', 0)]);
    meter.addSamples([sample('a', 500), sample('b', 0, false)]);
    meter.addSamples([sample('a', 500), sample('b', 0)]);
    meter.addSamples([sample('a', 505), sample('b', 0)]);
    expect(meter.computeGap()).to.deep.equal({ max: 5, p99: 5, windows: 2 });
  });
});
