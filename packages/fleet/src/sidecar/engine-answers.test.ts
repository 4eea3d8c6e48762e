// The caller gets the engine's whole answer, an honest error or a visible break: never a mix, never an end too early.
import { expect } from 'chai';
import { EndpointKind } from '@poplarpick/decisions';
import { RequestError, SystemClock, Verdict } from '@poplarpick/kernel';
import { ConnectionEnd, ScriptedEngine } from '@poplarpick/stand-ins';
import type { AnswerScript, ScriptedAnswer } from '@poplarpick/stand-ins';
import type { Job } from '../messages.ts';
import { ApplicationClient } from './application-client.ts';
import type { EndpointClient } from './endpoint-client.ts';
import { ModelEngineClient } from './model-engine-client.ts';

/** Cases that are played at the same time. */
const CONCURRENT_CASES = 128;

/** Length to which the description of a fault is cut. */
const MAX_FAULT_CHARACTERS = 200;

/** Time in which each case must have an outcome, in ms. */
const OUTCOME_TIMEOUT_MS = 20_000;

enum Framing {
  Length = 'length',
  Chunked = 'chunks',
  None = 'no framing',
}

/** How much of an answer is sent, and how its connection ends then. */
interface Ending {
  name: string;
  isWhole: boolean;
  end: ConnectionEnd;
}

const ENDINGS: Ending[] = [
  { name: 'whole', isWhole: true, end: ConnectionEnd.Close },
  { name: 'whole, then reset', isWhole: true, end: ConnectionEnd.Reset },
  { name: 'closed early', isWhole: false, end: ConnectionEnd.Close },
  { name: 'reset early', isWhole: false, end: ConnectionEnd.Reset },
  { name: 'died early', isWhole: false, end: ConnectionEnd.Death },
];

interface Outcome {
  frames: string[];
  /** Absent if the answer was reported as complete. */
  failure?: RequestError;
}

interface Case {
  name: string;
  kind: EndpointKind;
  script: AnswerScript;
  /** Returns what is wrong with the outcome, if anything. */
  findFault: (outcome: Outcome) => string | undefined;
}

function render(status: number, headers: string[], framing: Framing, parts: string[]): string {
  const body = parts.join('');
  const head = [`HTTP/1.1 ${status} Scripted`, ...headers];
  if (framing === Framing.None) return [...head, '', body].join('\r\n');
  if (framing === Framing.Length)
    return [...head, `Content-Length: ${body.length}`, '', body].join('\r\n');
  const chunks = [...parts.filter((part) => part !== ''), ''].map(
    (part) => `${part.length.toString(16)}\r\n${part}\r\n`,
  );
  return [...head, 'Transfer-Encoding: chunked', '', chunks.join('')].join('\r\n');
}

/** Cuts the last `missing` bytes off, unless the answer is to be whole. */
function send(text: string, { isWhole, end }: Ending, missing: number): ScriptedAnswer {
  return { bytes: Buffer.from(isWhole ? text : text.slice(0, -missing)), end };
}

async function play({ kind, script }: Case): Promise<Outcome> {
  const engine = await new ScriptedEngine(script).start();
  const options = { baseUrl: engine.url, clock: new SystemClock() };
  const client: EndpointClient =
    kind === EndpointKind.Model ? new ModelEngineClient(options) : new ApplicationClient(options);
  const outcome = await new Promise<Outcome>((resolve, reject) => {
    const frames: string[] = [];
    const timer = setTimeout(() => reject(new Error('no outcome')), OUTCOME_TIMEOUT_MS);
    const settle = (result: Outcome): void => {
      clearTimeout(timer);
      resolve(result);
    };
    client.run('request', createJob(kind), {
      onFrame: (data) => frames.push(data.toString('latin1')),
      onEnd: () => settle({ frames }),
      onFailure: (failure) => settle({ frames, failure }),
    });
  });
  await client.close();
  engine.stop();
  return outcome;
}

function createJob(kind: EndpointKind): Job {
  return {
    kind,
    pool: 'pool',
    workspace: 'spa',
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [],
    body: Buffer.from('{}'),
    repeatable: true,
  };
}

/** Plays all cases and returns what is wrong, by the name of the group. */
async function playAll(groups: Map<string, Case[]>): Promise<Map<string, string[]>> {
  const faults = new Map<string, string[]>([...groups.keys()].map((name) => [name, []]));
  const queue = [...groups].flatMap(([name, cases]) => cases.map((played) => ({ name, played })));
  const playNext = async (): Promise<void> => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const { name, played } = next;
      const outcome = await play(played);
      const fault = played.findFault(outcome);
      if (fault === undefined) continue;
      const seen = outcome.failure === undefined ? 'complete' : outcome.failure.message;
      const text = `${played.name}: ${fault} (${outcome.frames.length} frames, ${seen})`;
      faults.get(name)?.push(text.slice(0, MAX_FAULT_CHARACTERS));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CASES }, playNext));
  return faults;
}

/** Declares a test for each group; all cases of the groups are played at once, before. */
function declareTests(groups: Map<string, Case[]>): void {
  let faults: Map<string, string[]>;
  before(async () => {
    faults = await playAll(groups);
  });
  for (const [name, cases] of groups) {
    it(name, () => {
      const found = faults.get(name) ?? [];
      expect(found, `${found.length} of ${cases.length}`).to.deep.equal([]);
    });
  }
}

function isPrefix(frames: string[], whole: string[]): boolean {
  return frames.every((frame, index) => frame === whole[index]);
}

describe('answers of an application engine that keeps to HTTP only in part', () => {
  const BODY = ['{"rooms":[', '"12","14"', ']}'];

  interface ApplicationCase {
    status: number;
    framing: Framing;
    ending: Ending;
    /** Bytes that are missing of an answer that ends early. */
    missing: number;
    /** Bytes after the end of the answer. */
    surplus?: string;
  }

  function createCase(answer: ApplicationCase): Case {
    const { status, framing, ending, missing, surplus } = answer;
    const parts = status === 204 ? [] : BODY;
    const text =
      render(status, ['Content-Type: application/json'], framing, parts) + (surplus ?? '');
    const head = { status, headers: [{ name: 'content-type', value: 'application/json' }] };
    const whole = JSON.stringify(head) + parts.join('');
    const findFault = ({ frames, failure }: Outcome): string | undefined => {
      const seen = frames.join('');
      if (!whole.startsWith(seen)) return 'bytes that are not of the answer';
      if (failure === undefined) return seen === whole ? undefined : 'a short answer is complete';
      if (failure.verdict === Verdict.NotRun) return 'not run';
      return ending.isWhole && ending.end === ConnectionEnd.Close
        ? 'a whole answer fails'
        : undefined;
    };
    const name = `${status}, ${framing}, ${ending.name}, ${missing} bytes missing`;
    const script = (): ScriptedAnswer => send(text, ending, missing);
    return { name, kind: EndpointKind.Application, script, findFault };
  }

  /** All statuses with bodies that lack one byte or more. */
  function createCases(framing: Framing, ending: Ending): Case[] {
    return [200, 404, 500, 503].flatMap((status) =>
      [1, 8].map((missing) => createCase({ status, framing, ending, missing })),
    );
  }

  const groups = new Map<string, Case[]>();
  for (const framing of Object.values(Framing)) {
    for (const ending of ENDINGS) {
      // Without framing, an orderly close by an engine that lives is the end.
      if (framing === Framing.None && ending.name === 'closed early') continue;
      groups.set(`a body with ${framing}, ${ending.name}`, createCases(framing, ending));
    }
  }
  groups.set(
    'an answer that has no body',
    ENDINGS.filter(({ isWhole }) => isWhole).map((ending) =>
      createCase({ status: 204, framing: Framing.None, ending, missing: 0 }),
    ),
  );
  const text = render(200, ['Content-Type: application/json'], Framing.Length, BODY);
  const shortest = BODY.join('').length + 1;
  groups.set(
    'a head that breaks off at any byte',
    Array.from({ length: text.length - shortest }, (_, index) => index + shortest).flatMap(
      (missing) =>
        ENDINGS.filter(({ isWhole }) => !isWhole).map((ending) =>
          createCase({ status: 200, framing: Framing.Length, ending, missing }),
        ),
    ),
  );
  groups.set(
    'bytes after the end of a body',
    [Framing.Length, Framing.Chunked].flatMap((framing) =>
      ['surplus', render(500, [], Framing.Length, ['surplus'])].flatMap((surplus) =>
        ENDINGS.filter(({ isWhole }) => isWhole).map((ending) =>
          createCase({ status: 200, framing, ending, missing: 0, surplus }),
        ),
      ),
    ),
  );
  declareTests(groups);
});

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
          bytes: Buffer.from(render(404, [], Framing.Length, [])),
          end: ConnectionEnd.Close,
        };
      const from = Number(/from=(\d+)/.exec(requestLine)?.[1] ?? 0);
      const answer = answers;
      answers += 1;
      if (answer === 0) {
        const begun = toEvents(CHUNKS.slice(0, received));
        const text = render(200, ['Content-Type: text/event-stream'], Framing.None, begun);
        return { bytes: Buffer.from(text), end: ConnectionEnd.Reset };
      }
      if (answer === 1) {
        const parts = createParts(from);
        const text = render(status, [`Content-Type: ${contentType}`], framing, parts);
        return send(text, ending, missing ?? Math.ceil(parts.join('').length / 2) + 1);
      }
      if (hasMark)
        return {
          bytes: Buffer.from(render(404, [], Framing.Length, [])),
          end: ConnectionEnd.Close,
        };
      const parts = BODIES['the right chunks']?.(from) ?? [];
      const text = render(200, ['Content-Type: text/event-stream'], Framing.Chunked, parts);
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
