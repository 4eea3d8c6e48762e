import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import type { LogEvent } from '@poplarpick/kernel';
import { TraceStore } from '@poplarpick/decisions';
import { selectVisibleTrace } from './app.ts';
import { TracingLogger } from './tracing-logger.ts';

describe('TracingLogger', () => {
  it('records the events of a request at any level, and forwards all events', () => {
    const forwarded: string[] = [];
    const forward = ({ event }: LogEvent): void => void forwarded.push(event);
    const traceStore = new TraceStore();
    const log = new TracingLogger({
      log: { debug: () => undefined, info: forward, warn: forward, error: forward },
      traceStore,
      clock: new SystemClock(),
    });
    log.debug({ event: 'request.granted', request: 'r', sidecar: 's', missing: undefined });
    log.info({ event: 'peer.joined', peer: 'p' });
    const [recorded] = traceStore.find('r')?.events ?? [];
    expect(recorded).to.include({ event: 'request.granted' });
    expect(recorded?.details).to.deep.equal({ sidecar: 's' });
    expect(forwarded).to.deep.equal(['peer.joined']);
  });
});

describe('selectVisibleTrace', () => {
  const trace = { request: 'r', workspace: 'own', events: [], forgotten: 0 };

  it('shows a workspace only its own requests', () => {
    expect(selectVisibleTrace(trace, { request: 'r', workspace: 'own' })).to.equal(trace);
    expect(selectVisibleTrace(trace, { request: 'r', workspace: 'other' })).to.equal(null);
    expect(
      selectVisibleTrace({ ...trace, workspace: undefined }, { request: 'r', workspace: 'own' }),
    ).to.equal(null);
  });

  it('shows operators any request', () => {
    expect(selectVisibleTrace(trace, { request: 'r' })).to.equal(trace);
  });
});
