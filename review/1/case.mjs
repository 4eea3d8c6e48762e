/**
 * One entry of another writer in the store, whose address can't be read as one, ends a router as soon as it
 * sends a stream once more. All that the router has in flight at sound engines is lost, of all services.
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

const EVENTS = 40;
const EVENT_GAP_MS = 100;

/** Time that an engine works on a reservation, in ms. */
const RESERVATION_MS = 600;

/** Callers of each kind at each router, each with one connection that it keeps. */
const CALLERS = { stream: 24, reservation: 10 };

/** Requests of kept connections that a router may lose. */
const ALLOWED = 3;

const STREAM = { path: '/package-compare/a', deadlineMs: 12000, pauseMs: 150 };
const RESERVATION = { path: '/slot-hold/a', deadlineMs: 2500, pauseMs: 50 };

function writeConfiguration(store) {
  const routes = [
    route('package-compare', {
      service: 'poplar-llm',
      kind: 'stream',
      resumable: true,
      timeoutMs: 12000,
      targetLatencyMs: 300,
    }),
    route('slot-hold', {
      service: 'rezervari-app',
      kind: 'non_idempotent',
      maxAttempts: 1,
      targetLatencyMs: 1000,
    }),
  ];
  const services = [{ name: 'poplar-llm' }, { name: 'rezervari-app', maxConnections: 110 }];
  store.put('op/config', configuration(1, { routes, services }));
}

async function startEngines(run, store) {
  const models = [];
  const applications = [];
  for (let index = 0; index < 3; index += 1) {
    const model = new Engine({
      id: `i-model-${index}`,
      service: 'poplar-llm',
      number: 100 + index,
      slots: 96,
      handle: async (work) => {
        model.begin(work);
        await model.stream(work, { events: EVENTS, gapMs: EVENT_GAP_MS });
      },
    });
    models.push(await model.start(run, store));
    const application = new Engine({
      id: `i-app-${index}`,
      service: 'rezervari-app',
      number: 110 + index,
      slots: 12,
      handle: async (work) => {
        application.begin(work);
        await sleep(RESERVATION_MS);
        application.succeed(work, 'reserved');
      },
    });
    applications.push(await application.start(run, store));
  }
  return { models, applications };
}

await main(dirname(fileURLToPath(import.meta.url)), async (run) => {
  const store = await new Store().start(run);
  writeConfiguration(store);
  const { models, applications } = await startEngines(run, store);
  const routers = await startRouters(run, store, 2);

  const results = [];
  let isOver = false;
  const call = async (router, { path, deadlineMs, pauseMs }, index) => {
    const caller = new Caller(run, { maxSockets: 1 });
    await sleep(index * pauseMs);
    while (!isOver) {
      const result = await caller.send(router, path, { body: 'body', deadlineMs });
      results.push({ ...result, router });
      if (result.status !== 200) await sleep(500);
    }
  };
  const calls = routers.flatMap((router) => [
    ...Array.from({ length: CALLERS.stream }, (_, index) => call(router, STREAM, index)),
    ...Array.from({ length: CALLERS.reservation }, (_, index) => call(router, RESERVATION, index)),
  ]);
  // By then every caller has had an answer over the connection that it keeps.
  await sleep(8_000);

  if (HAS_TROUBLE) {
    const entry = models[0].entry({ address: `${run.network}.300:8080` });
    store.put('servers/other', entry);
    run.note(`another writer: servers/other ${JSON.stringify(entry)}`);
  }
  await sleep(1_000);
  run.note('engine i-model-2 crashes');
  await models[2].crash();
  store.remove('servers/i-model-2');
  await sleep(3_000);
  isOver = true;
  await Promise.all(calls);

  const engines = [models[0], models[1], ...applications];
  const sound = new Set(engines.flatMap(({ runs }) => runs.map(({ attempt }) => attempt)));
  const isLost = ({ attempt, wasKept, error, isCut }) =>
    wasKept && sound.has(attempt) && (isCut || error !== undefined);
  const counts = {};
  for (const { path, error, isCut, status } of results) {
    const end = `${path} ${error ?? (isCut ? `${status} cut` : status)}`;
    counts[end] = (counts[end] ?? 0) + 1;
  }
  run.note(`answers: ${JSON.stringify(counts)}`);
  const broken = [];
  for (const router of routers) {
    const lost = results.filter((result) => result.router === router && isLost(result));
    const unanswered = lost.filter(({ status }) => status === 0).length;
    const ends = router.exits.filter(({ wasAsked }) => !wasAsked).length;
    const summary =
      `${router.name} closed ${unanswered} kept connections without any answer to a request that a ` +
      `sound engine ran, and ${lost.length - unanswered} within a stream; ${ends} ends of its own`;
    run.note(summary);
    for (const line of router.logLines('TypeError')) run.note(`${router.name}: ${line}`);
    if (unanswered > ALLOWED) broken.push(`LOST: ${summary}`);
  }
  return broken;
});
