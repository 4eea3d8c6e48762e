// All routers are killed while streams run at an engine of one software version, whose sessions an engine of another
// version has cached from before. The first engine is silent for a second when the routers ask what it has cached: they
// take the other version for the one that began the streams, and go on with them there.
import * as kit from '../harness-2.mjs';

const ROUTERS = 2;
const SESSIONS = 16;
const EVENTS = 120;
const EVENT_GAP_MS = 50;
const DOWN_MS = 300;
/** Time for which the engine is silent, in ms. */
const SILENT_MS = 1_000;
/** Streams of two versions up to this number are allowed. */
const ALLOWED_JOINS = 2;

const ROUTES = [
  {
    ...{ name: 'draft', host: 'h.example', pathPrefix: '/draft/', kind: 'stream', service: 'llm' },
    ...{ timeoutMs: 12_000, targetLatencyMs: 800, gapAimMs: 500, maxAttempts: 2 },
    ...{ public: true, resumable: true },
  },
];

await kit.runCase(import.meta.url, async ({ record, own }) => {
  const store = own(new kit.Store());
  await store.start(kit.freeAddress());
  const old = own(
    new kit.Engine({
      id: 'i-old',
      service: 'llm',
      version: 'v1',
      slots: 32,
      handle: (call) => stream(call, record),
    }),
  );
  const next = own(
    new kit.Engine({
      id: 'i-new',
      service: 'llm',
      version: 'v2',
      slots: 32,
      handle: (call) => stream(call, record),
    }),
  );
  for (const engine of [old, next]) {
    await engine.start(kit.freeAddress());
    engine.held = new Map();
  }
  const services = [
    { name: 'llm', healthCheck: '/health', maxConnections: 240, engine: { kvTokens: 600_000 } },
  ];
  store.put('op/config', kit.configuration(1, { routes: ROUTES, services }));
  store.put(`servers/${old.id}`, old.entry);
  const ips = Array.from({ length: ROUTERS }, kit.freeAddress);
  const routers = ips.map((ip, index) =>
    own(
      new kit.Router({
        name: `front-${index}`,
        ip,
        store,
        seeds: ips.filter((seed) => seed !== ip),
      }),
    ),
  );
  for (const router of routers) router.start();
  for (const router of routers)
    if (!(await router.ready())) throw new Error('a router is not ready');

  const routerOf = (session) => routers[session % ROUTERS];
  const sessions = Array.from({ length: SESSIONS }, (_, session) => session);
  const first = sessions.map((session) =>
    own(new kit.Take(routerOf(session).front, { id: `first-${session}`, session, events: 3 })),
  );
  await Promise.all(first.map(({ done }) => done));
  record.add(`${SESSIONS} sessions have had a first answer, at i-old of version v1`);
  store.put(`servers/${next.id}`, next.entry);
  await kit.sleep(1_000);
  record.add('i-new of version v2 serves beside it; i-old is full for a moment');
  old.isFull = true;
  const begun = sessions.map((session) =>
    own(
      new kit.Take(routerOf(session).front, { id: `second-${session}`, session, events: EVENTS }),
    ),
  );
  await kit.until(() => begun.every(({ lastId }) => lastId >= 5));
  old.isFull = false;
  record.add('a second answer of each session has begun');

  next.onList = () => {
    next.onList = undefined;
    record.add('a router asks i-new what it has cached; i-new is silent for a second');
    next.fallSilent(SILENT_MS);
  };
  if (kit.isTroubled) {
    record.add('all routers are killed');
    for (const router of routers) router.process.kill('SIGKILL');
    await kit.sleep(DOWN_MS);
    for (const router of routers) {
      router.bootstrap = false;
      router.start();
    }
    record.add('the routers start again');
  }
  for (const router of routers) await router.ready();
  const takes = await Promise.all(
    begun.map(async (take, session) => {
      if (!kit.isTroubled) await take.done;
      const { events, isWhole, lastId } = take;
      if (isWhole) return { events, ending: 'whole at the first try' };
      const options = { id: `third-${session}`, session, events: EVENTS, resumes: take.id, lastId };
      const again = own(new kit.Take(routerOf(session).front, options));
      await again.done;
      const ending = `${again.status}, ${again.isWhole ? 'whole' : 'not whole'}`;
      return {
        events: [...events, ...again.events],
        ending: `taken up after ${lastId}: ${ending}`,
      };
    }),
  );
  let joined = 0;
  for (const [session, { events, ending }] of takes.entries()) {
    const versions = [...new Set(events.map((event) => /^data: (v\d)/m.exec(event)?.[1]))];
    record.add(
      `session ${session}: ${events.length} events of ${versions.join(' and ')}, ${ending}`,
    );
    if (versions.length > 1) joined += 1;
  }
  record.add(`${joined} streams hold events of two versions`);
  return joined <= ALLOWED_JOINS;
});

/** A stream that goes on after `Last-Event-Id`; its text tells the version of the engine's software. */
function stream({ socket, head, id, engine, target }, record) {
  if (engine.isFull === true) {
    const headers = { 'Attempt-Id': id, 'Not-Executed': '1' };
    kit.answer(socket, { status: '503 Service Unavailable', headers });
    record.add(`${engine.id} refuses ${id}`);
    return;
  }
  for (const part of (kit.headerOf(head, 'prompt-prefix') ?? '').split(',')) {
    const [name, tokens] = part.split(':');
    engine.held.set(name, Number(tokens));
  }
  const after = kit.headerOf(head, 'last-event-id');
  record.add(`${engine.id} runs ${id}${after === undefined ? '' : ` after event ${after}`}`);
  const events = Number(target.split('/')[2]);
  let next = Number(after ?? -1) + 1;
  socket.write(
    `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\n` +
      'Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  const timer = setInterval(() => {
    if (socket.destroyed) clearInterval(timer);
    if (socket.destroyed || engine.isSilent) return;
    if (next < events) {
      const event = `id: ${next}\ndata: ${engine.version}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      next += 1;
      return;
    }
    clearInterval(timer);
    socket.write('0\r\n\r\n');
  }, EVENT_GAP_MS);
}
