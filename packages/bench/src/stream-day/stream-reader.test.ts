/** Tests of the checker: a whole stream passes however it is cut and taken up, and each wrong one is reported. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  AnswerFraming,
  EngineConduct,
  EngineRecordKind,
} from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import type { EngineRecord } from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import { formatAnswer, formatEvent } from '@poplarpick/stand-ins/stream-engine/stream-text';
import type { EventMark } from '@poplarpick/stand-ins/stream-engine/stream-text';
import { TryEnd, ViolationKind } from './request-record.ts';
import type { RequestRecord, TryRecord } from './request-record.ts';
import { checkAnswer, checkRuns } from './run-checker.ts';
import { StreamReader } from './stream-reader.ts';

const SEED = 51;
const PADDING = 7;
const NAME = 'middle-1';
const BREAKS = fc.array(fc.nat({ max: 400 }), { maxLength: 3 });
const EVENTS = fc.integer({ min: 4, max: 20 });

interface ReadOptions {
  events: number;
  isResumable?: boolean;
  end?: TryEnd;
}

function createEvents(count: number, fields: Partial<EventMark> = {}): string[] {
  return Array.from({ length: count }, (_, index) => createEvent(index + 1, count, fields));
}

function createEvent(number: number, total: number, fields: Partial<EventMark> = {}): string {
  const mark = { stream: NAME, number, total, version: 'v1', run: 'e-1/1/a' };
  return formatEvent({ ...mark, ...fields }, PADDING);
}

/** Reads answers, one for each try; all but the last are broken off. */
function readTries(
  tries: readonly string[],
  { events, isResumable = true, end = TryEnd.Whole }: ReadOptions,
): ViolationKind[] {
  const reader = new StreamReader({ name: NAME, events, isResumable });
  tries.forEach((text, index) => {
    reader.beginTry(`try-${index}`);
    for (const character of text) reader.read(character);
    reader.endTry(index === tries.length - 1 ? end : TryEnd.Cut);
  });
  return reader.violations.map(({ kind }) => kind);
}

/** The ways in which a stream can be wrong: its events, changed at the event `at` (not the first or the last). */
const WRONG_STREAMS: Record<string, [ViolationKind, (events: string[], at: number) => string[]]> = {
  'an event is missing': [ViolationKind.Gap, (events, at) => events.toSpliced(at, 1)],
  'an event comes twice': [
    ViolationKind.Doubled,
    (events, at) => events.toSpliced(at, 0, events[at] ?? ''),
  ],
  'a number goes back': [
    ViolationKind.WentBack,
    (events, at) => [...events.slice(0, at + 1), ...events.slice(at - 1)],
  ],
  'two events are exchanged': [
    ViolationKind.Gap,
    (events, at) => events.toSpliced(at, 2, events[at + 1] ?? '', events[at] ?? ''),
  ],
  'the end comes too early': [ViolationKind.EndedEarly, (events, at) => events.slice(0, at)],
  'the end comes within an event': [
    ViolationKind.EndedEarly,
    (events, at) => [...events.slice(0, at), (events[at] ?? '').slice(0, -3)],
  ],
  'an error is in the middle': [
    ViolationKind.ForeignBytes,
    (events, at) => events.toSpliced(at, 0, 'HTTP/1.1 500 Failed\r\n\r\nit failed\n\n'),
  ],
  'an error is at the end': [ViolationKind.ForeignBytes, (events) => [...events, 'it failed\n']],
  'an event has no id': [
    ViolationKind.ForeignBytes,
    (events, at) => events.with(at, (events[at] ?? '').replace(/^id: \d+\n/, '')),
  ],
  'an event is cut short': [
    ViolationKind.ForeignBytes,
    (events, at) => events.with(at, (events[at] ?? '').replace('.;', '')),
  ],
  'an event is of another stream': [
    ViolationKind.ForeignAnswer,
    (events, at) => events.with(at, createEvent(at + 1, events.length, { stream: 'long-2' })),
  ],
  'events are of two versions': [
    ViolationKind.JoinedVersions,
    (events, at) => events.with(at, createEvent(at + 1, events.length, { version: 'v2' })),
  ],
};

describe('the reader of streams', () => {
  it('passes a whole stream however it is broken off and taken up after its last event', () => {
    const property = fc.property(EVENTS, BREAKS, (events, breaks) => {
      const tries: string[] = [];
      const reader = new StreamReader({ name: NAME, events, isResumable: true });
      for (const length of [...breaks, Infinity]) {
        const text = createEvents(events, { run: `e/${tries.length}/a` })
          .slice(reader.last)
          .join('');
        tries.push(text.slice(0, length));
        reader.beginTry('a');
        reader.read(tries.at(-1) ?? '');
      }
      expect(readTries(tries, { events })).to.deep.equal([]);
    });
    fc.assert(property, { seed: SEED, numRuns: 100 });
  });

  for (const [name, [kind, change]] of Object.entries(WRONG_STREAMS)) {
    it(`reports that ${name}, in one try or over two`, () => {
      const property = fc.property(EVENTS, fc.nat(), fc.boolean(), (events, draw, isSplit) => {
        const at = 1 + (draw % (events - 2));
        const wrong = change(createEvents(events), at);
        const tries = isSplit
          ? [wrong.slice(0, at).join(''), wrong.slice(at).join('')]
          : [wrong.join('')];
        expect(readTries(tries, { events })).to.include(kind);
      });
      fc.assert(property, { seed: SEED, numRuns: 50 });
    });
  }

  it('reports events of two runs only where the stream may not be resumed', () => {
    const joined = [...createEvents(3).slice(0, 2), createEvent(3, 3, { run: 'e-2/1/a' })].join('');
    expect(readTries([joined], { events: 3 })).to.deep.equal([]);
    const kinds = readTries([joined], { events: 3, isResumable: false });
    expect(kinds).to.deep.equal([ViolationKind.JoinedRuns]);
  });

  it('takes a stream that is broken off anywhere for honest', () => {
    const property = fc.property(EVENTS, fc.nat({ max: 400 }), (events, length) => {
      const text = createEvents(events).join('').slice(0, length);
      expect(readTries([text], { events, end: TryEnd.Cut })).to.deep.equal([]);
    });
    fc.assert(property, { seed: SEED, numRuns: 50 });
  });
});

const ATTEMPT = '000a';
const SEAL = 'e-1/1/a';
const BODY = formatAnswer({ stream: 'once-1', run: SEAL }, PADDING);

function createRequest(answer: Partial<TryRecord>): RequestRecord & { tries: [TryRecord] } {
  const whole = {
    status: 200,
    seal: SEAL,
    answeredAttempt: ATTEMPT,
    body: BODY,
    end: TryEnd.Whole,
  };
  const common = { attempt: ATTEMPT, router: 'front-0', after: 0, startedAt: 0, endedAt: 1 };
  const plain = {
    name: 'once-1',
    route: 'once',
    events: 0,
    isResumable: false,
    isIdempotent: false,
  };
  return { ...plain, tries: [{ ...common, ...whole, ...answer }] };
}

function createRun(fields: Partial<EngineRecord> = {}): EngineRecord {
  return {
    kind: EngineRecordKind.Run,
    at: 0,
    engine: 'e-1',
    version: 'v1',
    born: 1,
    attempt: ATTEMPT,
    target: '/once/once-1/0',
    after: 0,
    conduct: EngineConduct.Sound,
    framing: AnswerFraming.Chunked,
    ...fields,
  };
}

describe('the checker of plain answers and runs', () => {
  const answers: [string, Partial<TryRecord>, ViolationKind[]][] = [
    ['a whole answer', {}, []],
    ['a short answer that is broken off', { body: BODY.slice(0, 9), end: TryEnd.Cut }, []],
    ['an error of the router', { status: 502, seal: undefined, body: '' }, []],
    ['a short answer that ends whole', { body: BODY.slice(0, 9) }, [ViolationKind.ForeignBytes]],
    ['an empty answer that ends whole', { body: '' }, [ViolationKind.ForeignBytes]],
    ['an answer and another', { body: BODY + BODY }, [ViolationKind.ForeignBytes]],
    ['an answer without a seal', { seal: undefined }, [ViolationKind.MissingSeal]],
    ['an answer with another id', { answeredAttempt: 'b' }, [ViolationKind.ForeignAnswer]],
    [
      'an answer to another request',
      { body: formatAnswer({ stream: 'once-2', run: SEAL }, PADDING) },
      [ViolationKind.ForeignAnswer],
    ],
  ];
  for (const [name, answer, kinds] of answers) {
    it(`judges ${name}`, () => {
      const request = createRequest(answer);
      expect(checkAnswer(request, request.tries[0]).map(({ kind }) => kind)).to.deep.equal(kinds);
    });
  }

  const runs: [string, Partial<TryRecord>, EngineRecord[], ViolationKind[]][] = [
    ['a request that ran once', {}, [createRun()], []],
    [
      'a refusal of what was refused',
      { status: 503 },
      [createRun({ kind: EngineRecordKind.Refused })],
      [],
    ],
    ['a request that ran twice', {}, [createRun(), createRun()], [ViolationKind.RanTwice]],
    ['a 503 for what ran', { status: 503 }, [createRun()], [ViolationKind.UntrueNotRun]],
    ['a 429 for what ran', { status: 429 }, [createRun()], [ViolationKind.UntrueNotRun]],
    ['a 502 for what ran', { status: 502 }, [createRun()], []],
  ];
  for (const [name, answer, records, kinds] of runs) {
    it(`judges ${name}`, () => {
      const violations = checkRuns([createRequest(answer)], records);
      expect(violations.map(({ kind }) => kind)).to.deep.equal(kinds);
    });
  }
});
