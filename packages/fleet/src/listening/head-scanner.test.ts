import fc from 'fast-check';
import { expect } from 'chai';
import { HeadScanner } from './head-scanner.ts';

const HEAD_END = '\r\n\r\n';
const SEED = 54;
const RUNS = 300;

/** A request with a body that may look like the end of a head. */
const request = fc
  .record({
    lines: fc.array(fc.constantFrom('A: b', 'C: d\r', 'E: f'), { maxLength: 4 }),
    body: fc.string({ unit: fc.constantFrom('\r', '\n', 'a', HEAD_END), maxLength: 30 }),
  })
  .map(({ lines, body }) => ({
    head: `${['GET / HTTP/1.1', ...lines].join('\r\n')}${HEAD_END}`,
    body,
  }));

describe('the pieces that a parser is given', () => {
  it('are all that has come, and none holds the end of a second head', () => {
    fc.assert(
      fc.property(
        fc.array(request, { minLength: 1, maxLength: 8 }),
        fc.integer({ min: 1, max: 40 }),
        (requests, blockBytes) => {
          const bytes = Buffer.from(requests.map(({ head, body }) => head + body).join(''));
          const scanner = new HeadScanner();
          // Where each head ends, and how long the body behind it is.
          const ends = new Map<number, number>();
          let position = 0;
          for (const { head, body } of requests) {
            ends.set(position + head.length, body.length);
            position += head.length + body.length;
          }
          let given = 0;
          for (let start = 0; start < bytes.length; start += blockBytes) {
            let rest = bytes.subarray(start, start + blockBytes);
            while (rest.length > 0) {
              const piece = rest.subarray(0, scanner.pieceLength(rest));
              expect(piece.length).to.be.greaterThan(0);
              scanner.record(piece);
              const ended = [...ends].filter(([end]) => end > given && end <= given + piece.length);
              expect(ended.length).to.be.at.most(1);
              given += piece.length;
              for (const [end, bodyBytes] of ended) {
                expect(end).to.equal(given);
                scanner.beginBody(bodyBytes);
              }
              rest = rest.subarray(piece.length);
            }
          }
          expect(given).to.equal(bytes.length);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
