import { expect } from 'chai';
import fc from 'fast-check';
import { FrameDecoder, FrameEncoder, FrameError } from './frame-codec.ts';

const SEED = 20261203;
const CHUNK_BYTES = 7;

describe('frames', () => {
  it('are decoded as they were encoded, for any chunk boundaries and record structures', () => {
    const record = fc.dictionary(
      fc.string({ minLength: 1, maxLength: 3 }).filter((name) => name !== '__proto__'),
      fc.oneof(fc.integer(), fc.string(), fc.boolean()),
      { maxKeys: 6, noNullPrototype: true },
    );
    const value = fc.record({ method: fc.string(), params: fc.array(record, { maxLength: 4 }) });
    fc.assert(
      fc.property(fc.array(value, { minLength: 1, maxLength: 60 }), (values) => {
        const encoder = new FrameEncoder();
        const decoder = new FrameDecoder();
        const stream = Buffer.concat(values.map((entry) => encoder.encode(entry)));
        const read: unknown[] = [];
        for (let at = 0; at < stream.length; at += CHUNK_BYTES)
          read.push(
            ...decoder.push(stream.subarray(at, at + CHUNK_BYTES)).map(({ value }) => value),
          );
        expect(read).to.deep.equal(values);
      }),
      { seed: SEED },
    );
  });

  it('send the field names of a record once', () => {
    const encoder = new FrameEncoder();
    const message = { jsonrpc: '2.0', method: 'report', params: { kind: 'model', sequence: 1 } };
    const first = encoder.encode(message).length;
    const second = encoder.encode({ ...message, params: { kind: 'model', sequence: 2 } }).length;
    expect(second).to.be.below(first / 2);
  });

  it('are rejected if they contain no value or more than one', () => {
    const push = (body: Buffer) => () => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(body.length);
      return new FrameDecoder().push(Buffer.concat([length, body]));
    };
    expect(push(Buffer.from([0xa5, 0x61]))).to.throw(FrameError);
    expect(push(Buffer.from([1, 2]))).to.throw(FrameError);
  });
});
