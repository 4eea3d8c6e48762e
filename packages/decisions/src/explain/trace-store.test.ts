import { expect } from 'chai';
import { TraceStore } from './trace-store.ts';

function event(name: string, details = {}) {
  return { atMs: 0, event: name, details };
}

describe('TraceStore', () => {
  it('learns the workspace from whichever event tells it', () => {
    const book = new TraceStore();
    book.record('r', event('request.started'));
    book.record('r', event('request.queued', { workspace: 'w' }));
    expect(book.find('r')?.workspace).to.equal('w');
  });

  it('forgets the oldest request over its limit', () => {
    const book = new TraceStore({ requestLimit: 2 });
    for (const request of ['a', 'b', 'c']) book.record(request, event('request.queued'));
    expect(book.size).to.equal(2);
    expect(book.find('a')).to.equal(undefined);
  });

  it('keeps the first and the last events of a request, and counts the rest', () => {
    const book = new TraceStore({ eventLimit: 3 });
    for (const name of ['first', 'second', 'third', 'fourth', 'fifth'])
      book.record('r', event(name));
    const trace = book.find('r');
    expect(trace?.events.map((entry) => entry.event)).to.deep.equal(['first', 'fourth', 'fifth']);
    expect(trace?.forgotten).to.equal(2);
  });
});
