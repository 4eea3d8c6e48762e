import { EndpointLoad } from '@poplarpick/decisions';
import { expect } from 'chai';
import type { EndpointRecord } from './endpoint-directory.ts';
import { isIdle } from './endpoint-idleness.ts';

const SLOTS = 2;
const TOKENS = 500;

/** Whether an endpoint is idle after what `prepare` has done to its load. */
function checkIdle(
  prepare: (load: EndpointLoad) => void,
  { paceUsed = 0, isExhausted = false, now = 0 } = {},
): boolean {
  const load = new EndpointLoad();
  prepare(load);
  const record = { endpoint: { slots: SLOTS }, incarnation: 'e@1', load };
  const context = { streamPace: { paceUsed: () => paceUsed }, isExhausted, now };
  return isIdle(record as unknown as EndpointRecord, context);
}

function start(load: EndpointLoad): void {
  load.recordStarted(load.recordSent(TOKENS, TOKENS, 0));
}

describe('an endpoint', () => {
  it('is idle beside running streams, but not while a prompt waits or no slot is free', () => {
    expect(checkIdle(start)).to.equal(true);
    expect(checkIdle((load) => load.recordSent(TOKENS, TOKENS, 0))).to.equal(false);
    const fill = (load: EndpointLoad): void => {
      start(load);
      start(load);
    };
    expect(checkIdle(fill)).to.equal(false);
  });

  it('is not idle while its streams are slow, or it takes no more requests', () => {
    expect(checkIdle(start, { paceUsed: 0.9 })).to.equal(false);
    expect(checkIdle(start, { isExhausted: true })).to.equal(false);
  });

  it('is not idle while it fails or is silent', () => {
    const fail = (load: EndpointLoad): void => {
      for (let failure = 0; failure < 3; failure += 1) load.recordFailure(0);
    };
    expect(checkIdle(fail)).to.equal(false);
    expect(checkIdle(start, { now: 1_500 })).to.equal(false);
  });
});
