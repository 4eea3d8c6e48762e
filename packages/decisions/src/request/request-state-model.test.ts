/**
 * Model checker that explores every interleaving of one request with two routers, two sidecars, a
 * caller that submits it again, links that each end closes independently, restarts, pauses longer than
 * every timeout, and late delivery.
 */
import { expect } from 'chai';
import { Verdict } from '@poplarpick/kernel';
import { AnswerKind, createInitialState, RequestKind, ROUTERS } from './testing/model-state.ts';
import type { ModelState } from './testing/model-state.ts';
import { StepGenerator } from './testing/step-generator.ts';

function checkState(kind: RequestKind, state: ModelState): string | undefined {
  const runs = state.runs.reduce((sum, count) => sum + count, 0);
  if (kind !== RequestKind.Repeatable && runs > 1) return 'ran twice';
  for (const router of ROUTERS) {
    const answer = state.answers[router];
    if (answer === Verdict.NotRun && (state.runs[router] ?? 0) > 0) return 'not-run, but it ran';
    if (answer === AnswerKind.Complete && runs === 0) return 'answered without a run';
  }
  return undefined;
}

/** Returns whether a submission lacks an answer, which is a fault in a state without further steps. */
function isUnanswered(state: ModelState): boolean {
  return ROUTERS.some(
    (router) => state.requests[router] !== null && state.answers[router] === null,
  );
}

interface Exploration {
  states: number;
  problem: string | undefined;
}

function explore(kind: RequestKind): Exploration {
  const first = createInitialState(kind);
  const seen = new Set([JSON.stringify(first)]);
  const frontier: { state: ModelState; trace: string[] }[] = [{ state: first, trace: [] }];
  for (let entry = frontier.pop(); entry !== undefined; entry = frontier.pop()) {
    const steps = new StepGenerator(kind, entry.state).listSteps();
    if (steps.length === 0 && isUnanswered(entry.state)) {
      return { states: seen.size, problem: `never answered: ${entry.trace.join(', ')}` };
    }
    for (const { name, next } of steps) {
      const key = JSON.stringify(next);
      if (seen.has(key)) continue;
      seen.add(key);
      const trace = [...entry.trace, name];
      const problem = checkState(kind, next);
      if (problem !== undefined)
        return { states: seen.size, problem: `${problem}: ${trace.join(', ')}` };
      frontier.push({ state: next, trace });
    }
  }
  return { states: seen.size, problem: undefined };
}

describe('request state machine, explored exhaustively', () => {
  for (const kind of Object.values(RequestKind)) {
    it(`upholds its guarantees in every interleaving of a request that is ${kind}`, () => {
      const { states, problem } = explore(kind);
      expect(problem).to.equal(undefined);
      console.log(`      ${states} states of a request that is ${kind}`);
    });
  }
});
