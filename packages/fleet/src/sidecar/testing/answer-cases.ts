/** Plays the answers of scripted engines to the clients of a sidecar, and declares the tests of what comes of them. */
import { expect } from 'chai';
import { EndpointKind } from '@poplarpick/decisions';
import { SystemClock } from '@poplarpick/kernel';
import type { RequestError } from '@poplarpick/kernel';
import { ScriptedEngine } from '@poplarpick/stand-ins';
import type { AnswerScript } from '@poplarpick/stand-ins';
import type { Job } from '../../messages.ts';
import { ApplicationClient } from '../application-client.ts';
import type { EndpointClient } from '../endpoint-client.ts';
import { ModelEngineClient } from '../model-engine-client.ts';

/** Cases that are played at the same time. */
const CONCURRENT_CASES = 128;

/** Length to which the description of a fault is cut. */
const MAX_FAULT_CHARACTERS = 200;

/** Time in which each case must have an outcome, in ms. */
const OUTCOME_TIMEOUT_MS = 20_000;

/** What a client reported of an answer. */
export interface Outcome {
  frames: string[];
  /** Absent if the answer was reported as complete. */
  failure?: RequestError;
}

/** One answer of an engine, and how its outcome is judged. */
export interface Case {
  name: string;
  kind: EndpointKind;
  script: AnswerScript;
  /** Returns what is wrong with the outcome, if anything. */
  findFault: (outcome: Outcome) => string | undefined;
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
export function declareTests(groups: Map<string, Case[]>): void {
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
