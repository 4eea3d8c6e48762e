// A sound engine ends streams, which have neither a length nor chunks, and is silent for a second after each of them. The
// router takes these whole streams for ones that have broken off, and breaks them off at their callers.
import * as kit from '../harness-2.mjs';

const STREAMS = 6;
/** Events of the shortest stream, and how many more each further one has. */
const FEWEST_EVENTS = 10;
const MORE_EVENTS = 10;
const EVENT_GAP_MS = 50;
/** Time for which the engine is silent, in ms: "a second or so". */
const SILENT_MS = 1_000;
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
    ...{ service: 'llm', timeoutMs: 5_000, targetLatencyMs: 2_000, maxAttempts: 1, public: true },
  },
];

await kit.runCase(import.meta.url, async ({ record, own }) => {
  const ip = kit.freeAddress();
  /** Ids of the streams that the engine has ended whole. */
  const whole = new Set();
  const store = own(new kit.Store());
  await store.start(ip);
  const engine = own(
    new kit.Engine({ id: 'i-llm', service: 'llm', handle: (call) => serve(call, whole, record) }),
  );
  await engine.start(ip);
  const services = [{ name: 'llm', healthCheck: '/health', maxConnections: 240 }];
  store.put('op/config', kit.configuration(1, { routes: ROUTES, services }));
  store.put(`servers/${engine.id}`, engine.entry);
  const router = own(new kit.Router({ name: 'front-1', ip, store }));
  router.start();
  if (!(await router.ready())) throw new Error('the router is not ready');

  const callers = Array.from({ length: STREAMS }, () => own(new kit.Caller(router.front)));
  for (const [index, caller] of callers.entries()) await caller.send(`warm-${index}`, '/pay/fast');
  record.add('each caller has got an answer, and keeps its connection');
  const outcomes = callers.map((caller, index) => {
    const headers = `Model: m\r\nToken-Usage: 100,50\r\nPrompt-Prefix: aa:50,b${index}:50\r\n`;
    return caller.send(`stream-${index}`, `/draft/${FEWEST_EVENTS + index * MORE_EVENTS}`, {
      deadlineMs: 12_000,
      headers,
    });
  });
  let lost = 0;
  for (const [index, outcome] of (await Promise.all(outcomes)).entries()) {
    const id = `stream-${index}`;
    record.add(`${id}: ${outcome}, ${whole.has(id) ? 'ended whole by the engine' : 'not ended'}`);
    if (outcome === kit.BROKEN_OFF || outcome === kit.UNANSWERED) lost += 1;
  }
  record.add(`${lost} whole streams broken off at their callers`);
  return lost <= ALLOWED_LOSSES;
});

/** A quick answer, or a whole stream that ends with its connection, in order; the engine is silent for a while then. */
function serve({ socket, target, id, engine }, whole, record) {
  const headers = { 'Attempt-Id': id, 'Response-Seal': 'seal' };
  if (target.startsWith('/pay/')) {
    kit.answer(socket, { headers, body: 'paid' });
    return;
  }
  const events = Number(target.split('/')[2]);
  socket.write(
    `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\nResponse-Seal: seal\r\n\r\n`,
  );
  let sent = 0;
  const timer = setInterval(() => {
    if (engine.isSilent) return;
    if (sent < events) {
      socket.write(`id: ${sent}\ndata: text\n\n`);
      sent += 1;
      return;
    }
    clearInterval(timer);
    whole.add(id);
    socket.end();
    record.add(`the engine has ended ${id} in order${kit.isTroubled ? ' and is silent' : ''}`);
    if (kit.isTroubled) engine.fallSilent(SILENT_MS);
  }, EVENT_GAP_MS);
}
