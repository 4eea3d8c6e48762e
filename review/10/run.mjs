// Engines crash and start again under their ids. Streams that begin at the new start are broken off by the router as soon as
// it reads the new entry of their engine, which goes on all the while.
import * as kit from '../harness-2.mjs';

const ENGINES = 2;
/** Time for which the engines are down, in ms. */
const DOWN_MS = 2_000;
/** Time from the new start of an engine until it writes its entry, in ms: less than `heartbeatMs`. */
const ENTRY_MS = 1_100;
const STREAMS = 10;
const EVENTS = 60;
const EVENT_GAP_MS = 50;
/** Breaches of LOST up to this number are allowed. */
const ALLOWED_LOSSES = 3;

const ROUTES = [
  {
    ...{ name: 'draft', host: 'h.example', pathPrefix: '/draft/', kind: 'stream', service: 'llm' },
    ...{ timeoutMs: 12_000, targetLatencyMs: 800, gapAimMs: 500, maxAttempts: 1 },
    ...{ public: true, resumable: false },
  },
  {
    ...{ name: 'pay', host: 'h.example', pathPrefix: '/pay/', kind: 'idempotent', service: 'app' },
    ...{ timeoutMs: 3_000, targetLatencyMs: 2_000, maxAttempts: 2, public: true },
  },
];

await kit.runCase(import.meta.url, async ({ record, own }) => {
  const ip = kit.freeAddress();
  const store = own(new kit.Store());
  await store.start(ip);
  const engines = [];
  for (let count = 0; count < ENGINES; count += 1)
    engines.push(
      own(
        new kit.Engine({
          id: `i-llm-${count}`,
          service: 'llm',
          handle: (call) => stream(call, record),
        }),
      ),
    );
  const app = own(new kit.Engine({ id: 'i-app', service: 'app', handle: pay }));
  for (const engine of [...engines, app]) {
    await engine.start(ip);
    store.put(`servers/${engine.id}`, engine.entry);
  }
  const services = [
    { name: 'llm', healthCheck: '/health', maxConnections: 240, engine: { kvTokens: 600_000 } },
    { name: 'app', healthCheck: '/health', maxConnections: 110 },
  ];
  store.put('op/config', kit.configuration(1, { routes: ROUTES, services }));
  const router = own(new kit.Router({ name: 'front-1', ip, store }));
  router.start();
  if (!(await router.ready())) throw new Error('the router is not ready');

  if (kit.isTroubled) {
    for (const engine of engines) engine.crash();
    record.add(`${ENGINES} engines crash`);
    await kit.sleep(DOWN_MS);
    for (const engine of engines) await engine.startAgain();
    record.add('they have started again, under their ids and at their addresses');
  }
  const writesAt = performance.now() + ENTRY_MS;
  const callers = Array.from({ length: STREAMS }, () => own(new kit.Caller(router.front)));
  for (const [index, caller] of callers.entries()) await caller.send(`warm-${index}`, '/pay/a');
  record.add('each caller has got an answer, keeps its connection, and begins a stream');
  const outcomes = callers.map((caller, index) => {
    const headers = `Model: m\r\nToken-Usage: 100,50\r\nPrompt-Prefix: aa:50,b${index}:50\r\n`;
    return caller.send(`stream-${index}`, '/draft/a', { deadlineMs: 12_000, headers });
  });
  await kit.sleep(writesAt - performance.now());
  if (kit.isTroubled) {
    for (const engine of engines) store.put(`servers/${engine.id}`, engine.entry);
    record.add('they write their entries, with their new starts in `born`');
  }
  let lost = 0;
  for (const [index, outcome] of (await Promise.all(outcomes)).entries()) {
    record.add(`stream-${index}: ${outcome}`);
    if (outcome === kit.BROKEN_OFF || outcome === kit.UNANSWERED) lost += 1;
  }
  record.add(`${lost} streams of sound engines broken off`);
  return lost <= ALLOWED_LOSSES;
});

/** A sound stream, in chunks. */
function stream({ socket, id, engine }, record) {
  record.add(`${engine.id} runs ${id}`);
  socket.write(
    `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\n` +
      'Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  let sent = 0;
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer);
      return;
    }
    const event = `id: ${sent}\ndata: text\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    sent += 1;
    if (sent < EVENTS) return;
    clearInterval(timer);
    socket.write('0\r\n\r\n');
  }, EVENT_GAP_MS);
}

function pay({ socket, id }) {
  kit.answer(socket, { headers: { 'Attempt-Id': id, 'Response-Seal': 'seal' }, body: 'paid' });
}
