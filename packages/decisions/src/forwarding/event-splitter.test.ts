import { expect } from 'chai';
import fc from 'fast-check';
import { countAllocatedBytes } from '@poplarpick/kernel/testing/allocated-bytes';
import { ByteAccumulator } from './byte-accumulator.ts';
import { EventSplitter } from './event-splitter.ts';
import type { StreamEvent } from './event-splitter.ts';

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: no id\n\nid:3\ndata: c';

const LARGE_EVENT_BYTES = 4_194_304;
const SMALL_CHUNK_BYTES = 256;
/** A few ms when each byte is handled once; many seconds when all bytes are joined for each chunk. */
const MAX_LARGE_EVENT_MS = 1_000;
const EVENTS = 2_000;

function describeEvent({ bytes, id }: StreamEvent): string {
  return `${id ?? 'none'} ${JSON.stringify(bytes.toString('latin1'))}`;
}

/** The events of a whole stream, found with a regular expression. */
function splitByPattern(whole: Buffer): string[] {
  const events = whole.toString('latin1').match(/[^]*?\n\r?\n/g) ?? [];
  return events.map((text) => {
    const ids = [...text.matchAll(/^id: ?(.*)$/gm)].map(([, value]) => value);
    const id = ids.length === 1 && /^\d+$/.test(ids[0] ?? '') ? ids[0] : undefined;
    return `${id ?? 'none'} ${JSON.stringify(text)}`;
  });
}

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

  it('returns the same events of any bytes in any chunks as of the whole at once', () => {
    const piece = fc.constantFrom(
      '\n',
      '\r',
      '\n\n',
      '\n\r\n',
      'id: 7',
      'id:8',
      'data: a',
      'x',
      ' ',
    );
    const chunks = fc.array(
      fc.array(piece, { maxLength: 6 }).map((pieces) => Buffer.from(pieces.join(''))),
      { maxLength: 12 },
    );
    fc.assert(
      fc.property(chunks, (parts) => {
        const split = new EventSplitter();
        const atOnce = new EventSplitter();
        const events = parts.flatMap((part) => split.push(part));
        const expected = atOnce.push(Buffer.concat(parts));
        expect(events.map(describeEvent)).to.deep.equal(expected.map(describeEvent));
        expect(events.map(describeEvent)).to.deep.equal(splitByPattern(Buffer.concat(parts)));
        expect(split.pendingBytes).to.equal(atOnce.pendingBytes);
      }),
      { seed: 11, numRuns: 2_000 },
    );
  });

  // Guards against a stream that goes on after the first of two events that an endpoint has run together.
  it('takes an event with several ids for one without', () => {
    const events = ['id: 3\ndata: a\nid: 4\ndata: b\n\n', 'id: 3\nid: x\n\n', 'id: 3\nid\n\n'];
    const ids = new EventSplitter().push(Buffer.from(events.join(''))).map(({ id }) => id);
    expect(ids).to.deep.equal([undefined, undefined, undefined]);
  });

  for (const [name, line] of [
    ['one line', 'x'],
    ['many lines', '\n:'],
  ] as const) {
    it(`takes a large event of ${name} in small chunks in linear time`, () => {
      const splitter = new EventSplitter();
      const chunk = Buffer.from(line.repeat(SMALL_CHUNK_BYTES / line.length));
      const startedAt = performance.now();
      for (let bytes = 0; bytes < LARGE_EVENT_BYTES; bytes += chunk.length) splitter.push(chunk);
      expect(performance.now() - startedAt).to.be.lessThan(MAX_LARGE_EVENT_MS);
      const [event] = splitter.push(Buffer.from('\n\n'));
      expect(event?.bytes.length).to.equal(LARGE_EVENT_BYTES + 2);
    });
  }

  // Guards against small events that cost a router many times their size in garbage.
  it('takes an event with less than 700 bytes of garbage, and none for comments that it has not', async () => {
    const splitter = new EventSplitter();
    const comments = new ByteAccumulator();
    const chunk = Buffer.from(`id: 12\ndata: ${'x'.repeat(48)}\n\n`);
    const takeEvents = (): void => {
      for (let event = 0; event < EVENTS; event += 1) {
        splitter.push(chunk);
        comments.take();
      }
    };
    for (let round = 0; round < 5; round += 1) takeEvents();
    const bytes = await countAllocatedBytes(takeEvents);
    expect(bytes / EVENTS).to.be.lessThan(700);
  });
});
