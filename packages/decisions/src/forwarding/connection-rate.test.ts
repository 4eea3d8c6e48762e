import { expect } from 'chai';
import { ConnectionRate } from './connection-rate.ts';

const STEP_MS = 50;
const STEPS_PER_SECOND = 20;

/**
 * Plays callers that connect at a rate to a router that can serve `served` connections a second, and returns what
 * it accepts in the last of five seconds.
 */
function playSecond(offered: number, served: number): number {
  const rate = new ConnectionRate();
  let mean = 0;
  let isOverloaded = false;
  let accepted = 0;
  for (let step = 0; step < 5 * STEPS_PER_SECOND; step += 1) {
    let acceptedInStep = 0;
    for (let call = 0; call < offered / STEPS_PER_SECOND; call += 1) {
      if (!rate.isOpen) continue;
      rate.recordAccepted();
      acceptedInStep += 1;
    }
    const utilization = Math.min(1, (acceptedInStep * STEPS_PER_SECOND) / served);
    mean += (utilization - mean) / 8;
    isOverloaded = isOverloaded ? mean > 0.7 : mean >= 0.93;
    rate.step({ isOverloaded, utilization: mean }, step * STEP_MS);
    if (step >= 4 * STEPS_PER_SECOND) accepted += acceptedInStep;
  }
  return accepted;
}

describe('the rate of connections that a router accepts', () => {
  it('is not limited while the router has processor time left', () => {
    expect(playSecond(100, 400)).to.equal(100);
  });

  it('is about what the router can serve, at four times as many callers', () => {
    expect(playSecond(400, 100)).to.be.within(60, 160);
  });

  it('is not limited for the few callers of a router that other work keeps busy', () => {
    expect(playSecond(20, 10)).to.equal(20);
  });

  it('never falls to nothing', () => {
    const rate = new ConnectionRate();
    let accepted = 0;
    for (let step = 0; step < 100; step += 1) {
      rate.step({ isOverloaded: true, utilization: 1 }, step * STEP_MS);
      if (!rate.isOpen) continue;
      rate.recordAccepted();
      accepted += 1;
    }
    expect(accepted).to.be.at.least(90);
  });
});
