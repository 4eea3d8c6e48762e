// The caller gets the engine's whole answer, an honest error or a visible break: never a mix, never an end too early.
import { EndpointKind } from '@poplarpick/decisions';
import { Verdict } from '@poplarpick/kernel';
import { ConnectionEnd } from '@poplarpick/stand-ins';
import type { ScriptedAnswer } from '@poplarpick/stand-ins';
import { declareTests } from './testing/answer-cases.ts';
import type { Case, Outcome } from './testing/answer-cases.ts';
import { createAnswer, ENDINGS, Framing, renderAnswer } from './testing/scripted-answers.ts';
import type { Ending } from './testing/scripted-answers.ts';

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
      renderAnswer(status, ['Content-Type: application/json'], framing, parts) + (surplus ?? '');
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
    const script = (): ScriptedAnswer => createAnswer(text, ending, missing);
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
  const text = renderAnswer(200, ['Content-Type: application/json'], Framing.Length, BODY);
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
      ['surplus', renderAnswer(500, [], Framing.Length, ['surplus'])].flatMap((surplus) =>
        ENDINGS.filter(({ isWhole }) => isWhole).map((ending) =>
          createCase({ status: 200, framing, ending, missing: 0, surplus }),
        ),
      ),
    ),
  );
  declareTests(groups);
});
