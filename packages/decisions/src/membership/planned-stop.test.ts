import { expect } from 'chai';
import { findStopSource, isDrained, NO_STOP_MARKS, StopSource } from './planned-stop.ts';

describe('findStopSource', () => {
  const subject = { host: 'host-1', endpoint: 'model-1' };

  it('finds a mark of the host or its endpoint from either source', () => {
    expect(findStopSource(NO_STOP_MARKS, subject)).to.equal(undefined);
    for (const name of ['host-1', 'model-1']) {
      const marks = { ...NO_STOP_MARKS, configured: new Set([name]) };
      expect(findStopSource(marks, subject)).to.equal(StopSource.Configuration);
    }
    const marks = { ...NO_STOP_MARKS, leaving: new Set(['host-1']) };
    expect(findStopSource(marks, subject)).to.equal(StopSource.HostList);
  });

  it('ignores marks of other hosts and endpoints', () => {
    const marks = { configured: new Set(['model-2']), leaving: new Set(['model-1']) };
    expect(findStopSource(marks, subject)).to.equal(undefined);
  });
});

describe('isDrained', () => {
  it('needs a mark, no running requests and no undelivered answers', () => {
    const idle = { inFlight: 0, unsettled: 0 };
    expect(isDrained(undefined, idle)).to.equal(false);
    expect(isDrained(StopSource.Configuration, idle)).to.equal(true);
    expect(isDrained(StopSource.Configuration, { ...idle, inFlight: 1 })).to.equal(false);
    expect(isDrained(StopSource.HostList, { ...idle, unsettled: 1 })).to.equal(false);
  });
});
