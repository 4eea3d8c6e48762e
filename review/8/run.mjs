// Another writer leaves out a field of a running engine's entry. The router takes the engine for one that has started
// again, and cuts off all that the engine is working on, though the engine is sound.
import * as kit from '../harness-2.mjs';

const STREAMS = 8;
const PAYMENTS = 4;
const EVENTS = 30;
const EVENT_GAP_MS = 100;
const PAYMENT_MS = 2_000;
/** Breaches of LOST up to this number are allowed. */
const ALLOWED_LOSSES = 3;

const ROUTES = [
  {
    ...{ name: 'draft', host: 'h.example', pathPrefix: '/draft/', kind: 'stream', service: 'llm' },
    ...{ timeoutMs: 12_000, targetLatencyMs: 800, gapAimMs: 500, maxAttempts: 1 },
    ...{ public: true, resumable: false },
  },
  {
    ...{ name: 'pay', host: 'h.example', pathPrefix: '/pay/', kind: 'non_idempotent' },
    ...{ service: 'app', timeoutMs: 5_000, targetLatencyMs: 4_000, maxAttempts: 1, public: true },
  },
];

await kit.runCase(import.meta.url, async ({ record, own }) => {
  const ip = kit.freeAddress();
  const run = new Set();
  const store = own(new kit.Store());
  await store.start(ip);
  const model = own(new kit.Engine({ id: 'i-llm', service: 'llm', handle: stream }));
  const app = own(
    new kit.Engine({ id: 'i-app', service: 'app', handle: (call) => pay(call, run) }),
  );
  await model.start(ip);
  await app.start(ip);
  const services = [
    { name: 'llm', healthCheck: '/health', maxConnections: 240, engine: { kvTokens: 600_000 } },
    { name: 'app', healthCheck: '/health', maxConnections: 110 },
  ];
  store.put('op/config', kit.configuration(1, { routes: ROUTES, services }));
  for (const engine of [model, app]) store.put(`servers/${engine.id}`, engine.entry);
  const router = own(new kit.Router({ name: 'front-1', ip, store }));
  router.start();
  if (!(await router.ready())) throw new Error('the router is not ready');

  const callers = Array.from({ length: STREAMS + PAYMENTS }, () =>
    own(new kit.Caller(router.front)),
  );
  for (const [index, caller] of callers.entries()) await caller.send(`warm-${index}`, '/pay/fast');
  record.add('each caller has got an answer, and keeps its connection');
  const outcomes = callers.map((caller, index) => {
    if (index >= STREAMS) return caller.send(`pay-${index}`, '/pay/slow', { deadlineMs: 5_000 });
    const headers = `Model: m\r\nToken-Usage: 100,50\r\nPrompt-Prefix: aa:50,b${index}:50\r\n`;
    return caller.send(`stream-${index}`, '/draft/a', { deadlineMs: 12_000, headers });
  });
  await kit.sleep(800);
  if (kit.isTroubled) {
    record.add("another writer writes both engines' entries without the field `born`");
    for (const engine of [model, app])
      store.put(`servers/${engine.id}`, { ...engine.entry, born: undefined });
    await kit.sleep(1_200);
    record.add('the engines write their own entries');
    for (const engine of [model, app])
      store.put(`servers/${engine.id}`, { ...engine.entry, seq: 2 });
  }
  let lost = 0;
  for (const [index, outcome] of (await Promise.all(outcomes)).entries()) {
    const id = `${index < STREAMS ? 'stream' : 'pay'}-${index}`;
    const ending = run.has(id) ? `, run by i-app` : '';
    record.add(`${id}: ${outcome}${ending}`);
    if (outcome === kit.UNANSWERED || outcome === kit.BROKEN_OFF) lost += 1;
  }
  record.add(`${lost} requests passed on to a sound engine and not answered whole`);
  return lost <= ALLOWED_LOSSES;
});

/** A sound stream. */
function stream({ socket, id }) {
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

function pay({ socket, target, id }, run) {
  run.add(id);
  const headers = { 'Attempt-Id': id, 'Response-Seal': 'seal' };
  const respond = () => kit.answer(socket, { headers, body: 'paid' });
  setTimeout(respond, target.endsWith('slow') ? PAYMENT_MS : 1);
}
