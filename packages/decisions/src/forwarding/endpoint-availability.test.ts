import { expect } from 'chai';
import {
  DrainSource,
  EndpointAvailability,
  MAX_PAUSE_MS,
  retryAfterPauseMs,
} from './endpoint-availability.ts';

describe('endpoint availability', () => {
  it('ends with the first statement of any source that the endpoint drains', () => {
    for (const source of Object.values(DrainSource)) {
      const availability = new EndpointAvailability();
      expect(availability.takesRequests(0)).to.equal(true);
      expect(availability.recordDrain(source)).to.equal(true);
      expect(availability.recordDrain(source)).to.equal(false);
      expect(availability.takesRequests(1e9)).to.equal(false);
      expect(availability.hasAnnouncedDrain).to.equal(source === DrainSource.Endpoint);
    }
  });

  it('returns when a pause is over, and a shorter pause does not end a longer one', () => {
    const availability = new EndpointAvailability();
    expect(availability.recordPause(2_000, 100)).to.equal(true);
    expect(availability.recordPause(500, 200)).to.equal(false);
    expect(availability.takesRequests(2_099)).to.equal(false);
    expect(availability.remainingPauseMs(1_100)).to.equal(1_000);
    expect(availability.takesRequests(2_100)).to.equal(true);
  });

  it('is not lost for longer than the maximum after a faulty value', () => {
    const availability = new EndpointAvailability();
    availability.recordPause(1e15, 0);
    expect(availability.takesRequests(MAX_PAUSE_MS)).to.equal(true);
    expect(availability.recordPause(-5, MAX_PAUSE_MS)).to.equal(false);
    expect(availability.takesRequests(MAX_PAUSE_MS)).to.equal(true);
  });

  it('sends callers back after the pause, spread over some time', () => {
    expect(retryAfterPauseMs(2_000, 0)).to.equal(2_000);
    expect(retryAfterPauseMs(2_000, 0.5)).to.equal(2_250);
    expect(retryAfterPauseMs(100, 0.5)).to.equal(200);
  });
});
