import { expect } from 'chai';
import fc from 'fast-check';
import { AnswerCheck, AnswerFault, EventAction, ResponseProgress } from './answer-check.ts';
import type { AnswerHead } from './answer-check.ts';
import type { StreamEvent } from './event-splitter.ts';

const STREAM: AnswerHead = {
  status: 200,
  isNotRun: false,
  promisesNotRun: false,
  isSealed: true,
  isEventStream: true,
  isFramed: true,
};

const COMMENT: StreamEvent = { id: undefined, bytes: Buffer.from(': waiting\r\n\r\n') };
const NAMELESS: StreamEvent = { id: undefined, bytes: Buffer.from(': a\ndata: x\n\n') };

function event(id: number): StreamEvent {
  return { id, bytes: Buffer.from(`id: ${id}\ndata: x\n\n`) };
}

/** What a caller has at the begin of an answer. */
enum Place {
  /** Nothing, of a stream that it begins. */
  First = 'first',
  /** Events up to the second one, from an earlier response. */
  Resumed = 'resumed',
  /** Events up to the second one, in this response. */
  Joined = 'joined',
}

function progressAt(place: Place): ResponseProgress {
  const progress = new ResponseProgress({ resumedAfter: place === Place.Resumed ? 2 : undefined });
  if (place !== Place.Joined) return progress;
  progress.recordHead(STREAM);
  for (const id of [1, 2]) progress.recordEvent(event(id));
  return progress;
}

const { Pass, Hold, Reject } = EventAction;

describe('check of an answer', () => {
  for (const [name, head, first, joined] of [
    ['a stream', {}, undefined, undefined],
    ['a refusal', { status: 503, isNotRun: true, promisesNotRun: true }, 'Refused', 'Refused'],
    ['a 503 alone', { status: 503, promisesNotRun: true }, 'UnprovedRefusal', 'UnprovedRefusal'],
    ['a success without a seal', { isSealed: false }, 'Unsealed', 'Unsealed'],
    ['a part', { status: 206 }, undefined, 'NoContinuation'],
    ['another type', { isEventStream: false }, undefined, 'NoContinuation'],
    ['a caller error', { status: 404, isSealed: false }, undefined, 'NoContinuation'],
    ['a server error', { status: 500 }, 'ServerError', 'NoContinuation'],
  ] as const) {
    it(`asks the head what it is before it joins a stream: ${name}`, () => {
      for (const place of Object.values(Place)) {
        const fault = place === Place.Joined ? joined : first;
        const check = new AnswerCheck(progressAt(place));
        const expected = fault === undefined ? undefined : AnswerFault[fault];
        expect(check.checkHead({ ...STREAM, ...head }), place).to.equal(expected);
      }
    });
  }

  for (const [name, next, first, continued] of [
    ['the next event', event(3), Pass, Pass],
    ['a later event', event(4), Pass, Reject],
    ['the first event again', event(1), Pass, Reject],
    ['an event without an id', NAMELESS, Pass, Reject],
    ['a comment', COMMENT, Hold, Hold],
  ] as const) {
    it(`lets only the next event join a stream: ${name}`, () => {
      for (const place of Object.values(Place)) {
        const action = place === Place.First ? first : continued;
        expect(new AnswerCheck(progressAt(place)).checkEvent(next), place).to.equal(action);
      }
    });
  }

  it('takes no end without events for the end of a stream that the caller has begun to read', () => {
    const ends = Object.values(Place).flatMap((place) =>
      [true, false].map((isFramed) =>
        new AnswerCheck(progressAt(place)).checkStreamEnd({ ...STREAM, isFramed }),
      ),
    );
    const { NoEvents } = AnswerFault;
    expect(ends).to.deep.equal([undefined, undefined, NoEvents, NoEvents, NoEvents, NoEvents]);
  });

  it('takes an end without events for that of a resumed stream once two endpoints have framed it', () => {
    const progress = progressAt(Place.Resumed);
    const ends = [true, false, true].map((isFramed) =>
      new AnswerCheck(progress).checkStreamEnd({ ...STREAM, isFramed }),
    );
    expect(ends).to.deep.equal([AnswerFault.NoEvents, AnswerFault.NoEvents, undefined]);
  });

  it('takes no body for the rest of a stream', () => {
    const plain = { ...STREAM, isEventStream: false };
    const bodies = Object.values(Place).flatMap((place) =>
      [0, 1].map((bytes) => new AnswerCheck(progressAt(place)).checkBody(plain, bytes)),
    );
    const { NoContinuation: fault, NoEvents } = AnswerFault;
    expect(bodies).to.deep.equal([undefined, undefined, NoEvents, fault, fault, fault]);
  });

  it('lets no other endpoint go on after an event without an id, or with another answer than a stream', () => {
    const nameless = progressAt(Place.Joined);
    nameless.recordEvent(NAMELESS);
    const part = new ResponseProgress({ resumedAfter: undefined });
    part.recordHead({ ...STREAM, status: 206 });
    part.recordEvent(event(1));
    const commented = new ResponseProgress({ resumedAfter: undefined });
    commented.recordHead(STREAM);
    commented.recordEvent(COMMENT);
    expect([nameless, part, commented].some(({ canGoOn }) => canGoOn)).to.equal(false);
    expect(progressAt(Place.Joined)).to.include({ canGoOn: true, resumeAfter: 2 });
    expect(progressAt(Place.Resumed)).to.include({ canGoOn: true, resumeAfter: undefined });
  });

  it('passes each event once and in order, whatever a series of endpoints sends', () => {
    const sent = fc.oneof(
      fc.integer({ min: 1, max: 6 }).map(event),
      fc.constantFrom(COMMENT, NAMELESS),
    );
    const answers = fc.array(fc.array(sent, { maxLength: 6 }), { maxLength: 5 });
    fc.assert(
      fc.property(answers, fc.option(fc.nat(4), { nil: undefined }), (series, resumedAfter) => {
        const progress = new ResponseProgress({ resumedAfter });
        const passed: number[] = [];
        for (const events of series) {
          if (!progress.canGoOn) break;
          const check = new AnswerCheck(progress);
          for (const next of events) {
            const action = check.checkEvent(next);
            if (action === Reject) break;
            if (action === Hold) continue;
            if (!progress.hasBegun) progress.recordHead(STREAM);
            progress.recordEvent(next);
            if (next.id !== undefined) passed.push(next.id);
          }
        }
        const first = resumedAfter === undefined ? passed[0] : resumedAfter + 1;
        expect(passed).to.deep.equal(passed.map((_, index) => (first ?? 0) + index));
      }),
      { seed: 51, numRuns: 2_000 },
    );
  });
});
