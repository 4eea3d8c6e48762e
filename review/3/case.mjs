/**
 * A second version of the engines appears while streams run that a router began before. The router is killed,
 * and the callers take their streams up again at the other routers, which refuse all of them.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  Caller,
  configuration,
  Engine,
  HAS_TROUBLE,
  main,
  route,
  sleep,
  startRouters,
  Store,
} from '../harness.mjs';

const EVENTS = 80;
const EVENT_GAP_MS = 100;
const STREAMS = 24;
const DEADLINE_MS = 12000;

/** Streams taken up again from which on the rule holds. */
const MIN_RESUMED = 12;

function readIds(body) {
  return [...body.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)].map(([, id]) => Number(id));
}

await main(dirname(fileURLToPath(import.meta.url)), async (run) => {
  const store = await new Store().start(run);
  const routes = [
    route('package-compare', {
      service: 'poplar-llm',
      kind: 'stream',
      resumable: true,
      timeoutMs: 12000,
      targetLatencyMs: 300,
    }),
  ];
  store.put('op/config', configuration(1, { routes, services: [{ name: 'poplar-llm' }] }));
  const startEngine = async (id, number, version) => {
    const engine = new Engine({
      id,
      service: 'poplar-llm',
      number,
      version,
      slots: 96,
      handle: async (work) => {
        engine.begin(work);
        await engine.stream(work, { events: EVENTS, gapMs: EVENT_GAP_MS });
      },
    });
    return engine.start(run, store);
  };
  for (let index = 0; index < 3; index += 1) await startEngine(`i-old-${index}`, 100 + index, 'v1');
  const routers = await startRouters(run, store, 3);
  const [first, ...others] = routers;
  const caller = new Caller(run);
  const send = (router, index, headers = {}) =>
    caller.send(router, '/package-compare/a', {
      body: 'question',
      deadlineMs: DEADLINE_MS,
      headers: {
        Model: 'm',
        'Token-Usage': '628,290',
        'Prompt-Prefix': `a1:119,${(0x1000 + index).toString(16)}:509`,
        ...headers,
      },
    });

  const streams = Array.from({ length: STREAMS }, (_, index) => send(first, index));
  await sleep(1_500);
  run.note('an engine of the next version is added beside the others');
  await startEngine('i-new-0', 110, 'v2');
  await sleep(1_500);
  if (HAS_TROUBLE) first.child.kill('SIGKILL');

  const begun = await Promise.all(streams);
  const broken = begun.filter(({ isCut, error }) => isCut || error !== undefined);
  const resumed = await Promise.all(
    broken.map((stream, index) => {
      const last = readIds(stream.body).at(-1);
      const headers = { 'Last-Event-Id': String(last), Resumes: stream.attempt };
      return send(others[index % others.length], begun.indexOf(stream), headers);
    }),
  );
  const fresh = await Promise.all(
    Array.from({ length: STREAMS }, (_, index) =>
      send(others[index % others.length], STREAMS + index),
    ),
  );
  const countServed = (results) =>
    results.filter(({ status, body }) => status === 200 && readIds(body).length > 0).length;
  const resumedShare = countServed(resumed) / Math.max(1, resumed.length);
  const freshShare = countServed(fresh) / fresh.length;
  run.note(
    `${broken.length} streams broken, ${countServed(resumed)} of ${resumed.length} went on, ` +
      `${countServed(fresh)} of ${fresh.length} new ones began`,
  );
  for (const line of others.flatMap((router) => router.logLines('event=call.refused')).slice(0, 2))
    run.note(line);
  if (resumed.length < MIN_RESUMED || resumedShare >= freshShare / 2) return [];
  return [
    `LOST: ${countServed(resumed)} of ${resumed.length} streams that callers took up again went on, ` +
      `of the new ones ${countServed(fresh)} of ${fresh.length} began; three engines of the version serve`,
  ];
});
