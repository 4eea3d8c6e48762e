import { expect } from 'chai';
import { TraceStore } from './trace-store.ts';

function createEvent(name: string, details = {}) {
  return { atMs: 0, event: name, details };
}

describe('TraceStore', () => {
  it('sets the workspace from any event that names it', () => {
    const store = new TraceStore();
    store.record('r', createEvent('request.started'));
    store.record('r', createEvent('request.queued', { workspace: 'w' }));
    expect(store.find('r')?.workspace).to.equal('w');
  });

  it('evicts the oldest request over its limit', () => {
    const store = new TraceStore({ requestLimit: 2 });
    for (const request of ['a', 'b', 'c']) store.record(request, createEvent('request.queued'));
    expect(store.size).to.equal(2);
    expect(store.find('a')).to.equal(undefined);
  });

  it('keeps the first and the last events of a request, and counts the dropped ones', () => {
    const store = new TraceStore({ eventLimit: 3 });
    for (const name of ['first', 'second', 'third', 'fourth', 'fifth'])
      store.record('r', createEvent(name));
    const trace = store.find('r');
    expect(trace?.events.map((entry) => entry.event)).to.deep.equal(['first', 'fourth', 'fifth']);
    expect(trace?.forgotten).to.equal(2);
  });
});
