import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import type { LogEvent } from '@poplarpick/kernel';
import { TraceStore } from '@poplarpick/decisions';
import { showTrace } from './app.ts';
import { TracedLogger } from './traced-logger.ts';

describe('TracedLogger', () => {
  it('notes what is logged of a request at any level, and passes everything on', () => {
    const passed: string[] = [];
    const pass = ({ event }: LogEvent): void => void passed.push(event);
    const book = new TraceStore();
    const log = new TracedLogger({
      log: { debug: () => undefined, info: pass, warn: pass, error: pass },
      book,
      clock: new SystemClock(),
    });
    log.debug({ event: 'request.granted', request: 'r', sidecar: 's', missing: undefined });
    log.info({ event: 'peer.joined', peer: 'p' });
    const [noted] = book.find('r')?.events ?? [];
    expect(noted).to.include({ event: 'request.granted' });
    expect(noted?.details).to.deep.equal({ sidecar: 's' });
    expect(passed).to.deep.equal(['peer.joined']);
  });
});

describe('showTrace', () => {
  const trace = { request: 'r', workspace: 'own', events: [], forgotten: 0 };

  it('shows a workspace its own requests alone', () => {
    expect(showTrace(trace, { request: 'r', workspace: 'own' })).to.equal(trace);
    expect(showTrace(trace, { request: 'r', workspace: 'other' })).to.equal(null);
    expect(
      showTrace({ ...trace, workspace: undefined }, { request: 'r', workspace: 'own' }),
    ).to.equal(null);
  });

  it('shows operators any request', () => {
    expect(showTrace(trace, { request: 'r' })).to.equal(trace);
  });
});
