// The caller gets the stream's whole answer, an honest error or a visible break, also when it goes on elsewhere.
import { EndpointKind } from '@poplarpick/decisions';
import { Verdict } from '@poplarpick/kernel';
import { ConnectionEnd } from '@poplarpick/stand-ins';
import type { ScriptedAnswer } from '@poplarpick/stand-ins';
import { declareTests } from './testing/answer-cases.ts';
import type { Case, Outcome } from './testing/answer-cases.ts';
import { createAnswer, ENDINGS, Framing, renderAnswer } from './testing/scripted-answers.ts';
import type { Ending } from './testing/scripted-answers.ts';

function isPrefix(frames: string[], whole: string[]): boolean {
  return frames.every((frame, index) => frame === whole[index]);
}

describe('streams of a model engine that keeps to its protocol only in part', () => {
  const END_MARK = 'data: [DONE]\n\n';
  const CHUNKS = createChunks('chatcmpl-request');
  const OTHER_CHUNKS = createChunks('chatcmpl-other');

  function createChunks(id: string): string[] {
    // Some in a row are the same, as tokens may be.
    const contents = Array.from({ length: 40 }, (_, index) => ` ${Math.floor(index / 4)}`);
    return [
      ...contents.map((content, index) => {
        const delta = index === 0 ? { role: 'assistant', content } : { content };
        return { id, choices: [{ index: 0, delta }] };
      }),
      { id, choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] },
      { id, choices: [], usage: { prompt_tokens: 1, completion_tokens: 6 } },
    ].map((chunk) => JSON.stringify(chunk));
  }

  const toEvents = (chunks: string[]): string[] => chunks.map((chunk) => `data: ${chunk}\n\n`);
  const ERROR = '{"error":{"message":"out of memory"}}';

  /** Bodies of an answer that was asked to begin at an event. The first two are sound. */
  const BODIES: Record<string, (from: number) => string[]> = {
    'the right chunks': (from) => [...toEvents(CHUNKS.slice(from)), END_MARK],
    'events after the end mark': (from) => [
      ...toEvents(CHUNKS.slice(from)),
      END_MARK,
      ...toEvents(OTHER_CHUNKS.slice(0, 2)),
      END_MARK,
    ],
    'chunks of another stream': (from) => [
      ...toEvents(CHUNKS.slice(from, 1)),
      ...toEvents(OTHER_CHUNKS.slice(Math.max(from, 1))),
      END_MARK,
    ],
    'an error as text': (from) => [
      ...toEvents(CHUNKS.slice(from, from + 1)),
      'Internal Server Error\n\n',
      END_MARK,
    ],
    'an error as an object': (from) => [
      ...toEvents(CHUNKS.slice(from, from + 1)),
      ...toEvents([ERROR]),
      END_MARK,
    ],
    'an error as an event': (from) => [
      ...toEvents(CHUNKS.slice(from, from + 1)),
      `event: error\ndata: {"message":"out of memory"}\n\n`,
      END_MARK,
    ],
    'an object that is no chunk': (from) => [
      ...toEvents(CHUNKS.slice(from, from + 1)),
      ...toEvents(['{"detail":"out of memory"}']),
      END_MARK,
    ],
    'an error alone': () => [ERROR],
    'an end mark too early': (from) => [...toEvents(CHUNKS.slice(from, from + 20)), END_MARK],
    nothing: () => [''],
    'no end mark': (from) => toEvents(CHUNKS.slice(from)),
  };
  const SOUND_BODIES = Object.keys(BODIES).slice(0, 2);

  /** Bodies that don't follow what was received before, only for answers that go on with a stream. */
  const MISPLACED_BODIES: Record<string, (from: number) => string[]> = {
    'all chunks anew': () => [...toEvents(CHUNKS), END_MARK],
    'a gap of one chunk': (from) => [...toEvents(CHUNKS.slice(from + 1)), END_MARK],
    'a gap of two chunks': (from) => [...toEvents(CHUNKS.slice(from + 2)), END_MARK],
    'a chunk twice': (from) => [...toEvents(CHUNKS.slice(Math.max(0, from - 1))), END_MARK],
  };

  interface StreamCase {
    status: number;
    body: string;
    framing: Framing;
    ending: Ending;
    contentType: string;
    /** Number of chunks received before, over a connection that was then reset. */
    received: number;
    /** Bytes that are missing of an answer that ends early, if not half of the body. */
    missing?: number;
    /** Only bytes of the framing are missing. */
    hasCutFraming?: boolean;
  }

  function createCase(stream: StreamCase): Case {
    const { status, body, framing, ending, contentType, received, missing, hasCutFraming } = stream;
    const hasMark = ending.isWhole || hasCutFraming === true;
    const createParts = BODIES[body] ?? MISPLACED_BODIES[body];
    if (createParts === undefined) throw new Error(`there is no body ${body}`);
    let answers = received > 0 ? 0 : 1;
    const script = (requestLine: string): ScriptedAnswer => {
      if (requestLine.startsWith('DELETE'))
        return {
          bytes: Buffer.from(renderAnswer(404, [], Framing.Length, [])),
          end: ConnectionEnd.Close,
        };
      const from = Number(/from=(\d+)/.exec(requestLine)?.[1] ?? 0);
      const answer = answers;
      answers += 1;
      if (answer === 0) {
        const begun = toEvents(CHUNKS.slice(0, received));
        const text = renderAnswer(200, ['Content-Type: text/event-stream'], Framing.None, begun);
        return { bytes: Buffer.from(text), end: ConnectionEnd.Reset };
      }
      if (answer === 1) {
        const parts = createParts(from);
        const text = renderAnswer(status, [`Content-Type: ${contentType}`], framing, parts);
        return createAnswer(text, ending, missing ?? Math.ceil(parts.join('').length / 2) + 1);
      }
      if (hasMark)
        return {
          bytes: Buffer.from(renderAnswer(404, [], Framing.Length, [])),
          end: ConnectionEnd.Close,
        };
      const parts = BODIES['the right chunks']?.(from) ?? [];
      const text = renderAnswer(200, ['Content-Type: text/event-stream'], Framing.Chunked, parts);
      return { bytes: Buffer.from(text), end: ConnectionEnd.Close };
    };
    const findFault = ({ frames, failure }: Outcome): string | undefined => {
      if (!isPrefix(frames, CHUNKS)) return 'frames that are not of the answer';
      if (failure === undefined)
        return frames.length === CHUNKS.length ? undefined : 'a short answer is complete';
      const isRefused = status >= 400 && status < 500 && received === 0;
      if (failure.verdict === Verdict.NotRun && !isRefused) return 'not run';
      const isSound = status === 200 && hasMark && SOUND_BODIES.includes(body);
      return isSound ? 'a whole answer fails' : undefined;
    };
    const place = received > 0 ? `goes on after ${received}` : 'first';
    const name = `${place}, ${status}, ${contentType}, ${framing}, ${ending.name}`;
    return { name, kind: EndpointKind.Model, script, findFault };
  }

  /** All cases with one kind of body. */
  function createCases(body: string, places: number[]): Case[] {
    const statuses = ['an error as text', 'nothing'].includes(body)
      ? [200, 201, 404, 500, 503]
      : [200];
    return places.flatMap((received) =>
      statuses.flatMap((status) =>
        Object.values(Framing).flatMap((framing) =>
          ENDINGS.flatMap((ending) =>
            (received > 0 ? ['text/event-stream'] : ['text/event-stream', 'application/json']).map(
              (contentType) => createCase({ status, body, framing, ending, contentType, received }),
            ),
          ),
        ),
      ),
    );
  }

  const groups = new Map<string, Case[]>();
  for (const body of Object.keys(BODIES))
    groups.set(`a first answer with ${body}`, createCases(body, [0]));
  for (const body of [...Object.keys(BODIES), ...Object.keys(MISPLACED_BODIES)])
    groups.set(`a stream that goes on with ${body}`, createCases(body, [1, 4, 30]));
  groups.set(
    'a first answer without content',
    ENDINGS.filter(({ isWhole }) => isWhole).map((ending) => {
      const answer = { status: 204, body: 'nothing', framing: Framing.None, ending };
      return createCase({ ...answer, contentType: 'text/plain', received: 0 });
    }),
  );
  groups.set(
    'a stream whose framing breaks off after its end mark',
    ENDINGS.filter(({ isWhole }) => !isWhole).flatMap((ending) =>
      [0, 30].map((received) => {
        const answer = { status: 200, body: 'the right chunks', framing: Framing.Chunked, ending };
        const cut = { missing: 3, hasCutFraming: true };
        return createCase({ ...answer, ...cut, contentType: 'text/event-stream', received });
      }),
    ),
  );
  const headEnd = BODIES['the right chunks']?.(0).join('').length ?? 0;
  groups.set(
    'a head that breaks off',
    ENDINGS.filter(({ isWhole }) => !isWhole).flatMap((ending) =>
      [0, 1].flatMap((received) =>
        [1, 2, 4, 10, 40].map((bytes) => {
          const missing = headEnd + bytes;
          const answer = { status: 200, body: 'the right chunks', framing: Framing.None, ending };
          return createCase({ ...answer, contentType: 'text/event-stream', received, missing });
        }),
      ),
    ),
  );
  declareTests(groups);
});
