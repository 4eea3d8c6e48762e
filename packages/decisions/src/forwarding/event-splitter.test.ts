import { expect } from 'chai';
import fc from 'fast-check';
import { EventSplitter } from './event-splitter.ts';

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: no id\n\nid:3\ndata: c';

describe('event splitter', () => {
  it('returns complete events with their ids and buffers the incomplete one', () => {
    const splitter = new EventSplitter();
    const events = splitter.push(Buffer.from(STREAM));
    expect(events.map(({ id }) => id)).to.deep.equal([1, 2, undefined]);
    expect(splitter.pendingBytes).to.equal('id:3\ndata: c'.length);
    const [last] = splitter.push(Buffer.from('\n\n'));
    expect(last?.id).to.equal(3);
    expect(splitter.pendingBytes).to.equal(0);
  });

  it('returns the same bytes and ids however the stream is split into chunks', () => {
    const whole = Buffer.from(`${STREAM}\n\n`);
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: whole.length }), { maxLength: 20 }),
        (cuts) => {
          const splitter = new EventSplitter();
          const ends = [...new Set(cuts), whole.length].sort((a, b) => a - b);
          let start = 0;
          const events = ends.flatMap((end) => {
            const found = splitter.push(whole.subarray(start, end));
            start = end;
            return found;
          });
          expect(Buffer.concat(events.map(({ bytes }) => bytes)).equals(whole)).to.equal(true);
          expect(events.map(({ id }) => id)).to.deep.equal([1, 2, undefined, 3]);
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });
});
