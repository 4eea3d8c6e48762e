import { expect } from 'chai';
import { request } from 'undici';
import { WeightStore } from '../weight-store.ts';
import { CacheChange, expectedAnswer, ModelEngine, OrderAction } from './model-engine.ts';
import type { CacheEvent, LoadReport, ModelEngineOptions, Order } from './model-engine.ts';

const MODEL = 'm';
const FAST_PACE = { baseStepMs: 2, perSequenceMs: 0 };

describe('ModelEngine', () => {
  const engines: ModelEngine[] = [];

  after(async () => {
    await Promise.all(engines.map((engine) => engine.stop()));
  });

  async function startEngine(options: Partial<ModelEngineOptions> = {}): Promise<ModelEngine> {
    const engine = await new ModelEngine({
      models: [MODEL],
      pace: FAST_PACE,
      lagMs: 1,
      ...options,
    }).start();
    engines.push(engine);
    return engine;
  }

  function chat(content: string, tokens: number) {
    return {
      model: MODEL,
      messages: [{ role: 'user', content }],
      metadata: { output_tokens: String(tokens) },
    };
  }

  async function startCompletion(engine: ModelEngine, id: string, body: object) {
    return request(`${engine.url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'x-request-id': id },
      body: JSON.stringify(body),
    });
  }

  async function getJson<Answer>(engine: ModelEngine, path: string): Promise<Answer> {
    const response = await request(engine.url + path);
    return (await response.body.json()) as Answer;
  }

  async function sendOrder(engine: ModelEngine, body: Order): Promise<number> {
    const response = await request(`${engine.url}/v1/orders`, {
      method: 'POST',
      body: JSON.stringify(body),
    });
    await response.body.dump();
    return response.statusCode;
  }

  /** Concatenates the content of all chunks in the text of an event stream. */
  function extractContent(text: string): string {
    const chunks = text.split('\n\n').filter((event) => event.startsWith('data: {'));
    return chunks
      .map(
        (event) =>
          JSON.parse(event.slice('data: '.length)) as {
            choices: { delta?: { content?: string } }[];
          },
      )
      .map(({ choices }) => choices[0]?.delta?.content ?? '')
      .join('');
  }

  async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, 5));
  }

  it('derives the answer from the request alone', async () => {
    const engine = await startEngine();
    const body = chat('hello', 12);
    const response = await startCompletion(engine, 'r1', body);
    const text = await response.body.text();
    expect(extractContent(text)).to.equal(expectedAnswer(body));
    expect(text).to.match(/data: \[DONE\]\n\n$/);
  });

  it('resumes a stream from any event', async () => {
    const engine = await startEngine();
    const body = chat('resume', 20);
    const first = await startCompletion(engine, 'r2', body);
    const whole = await first.body.text();
    const resumed = await request(`${engine.url}/v1/streams/r2?from=5`);
    const events = whole.split('\n\n');
    expect(await resumed.body.text()).to.equal(events.slice(5).join('\n\n'));
  });

  it('cancels a stream, which then ends without [DONE]', async () => {
    const engine = await startEngine();
    const response = await startCompletion(engine, 'r3', chat('cancel', 100_000));
    await waitUntil(() => engine.running === 1);
    await request(`${engine.url}/v1/streams/r3`, { method: 'DELETE' });
    let failed = false;
    await response.body.text().catch(() => (failed = true));
    expect(failed).to.equal(true);
    expect(engine.running).to.equal(0);
  });

  it('takes longer per step the more sequences run, and reports that with a lag', async () => {
    const engine = await startEngine({ pace: { baseStepMs: 5, perSequenceMs: 2 } });
    await Promise.all(['a', 'b', 'c'].map((id) => startCompletion(engine, id, chat(id, 100_000))));
    await waitUntil(async () => (await getJson<LoadReport>(engine, '/v1/load')).running === 3);
    const load = await getJson<LoadReport>(engine, '/v1/load');
    expect(load.stepMs).to.equal(9);
  });

  it('publishes cache events and loses every n-th', async () => {
    const engine = await startEngine({ cacheEventLossInterval: 3 });
    const response = await startCompletion(engine, 'r4', chat('x'.repeat(256 * 9), 1));
    await response.body.dump();
    const readEvents = async () =>
      (await getJson<{ events: CacheEvent[] }>(engine, '/v1/cache/events?after=0')).events;
    await waitUntil(async () => (await readEvents()).length === 6);
    const events = await readEvents();
    expect(events.map(({ sequence }) => sequence)).to.deep.equal([1, 2, 4, 5, 7, 8]);
    expect(events.every(({ change }) => change === CacheChange.Stored)).to.equal(true);
  });

  it('refuses an order with a stale fencing token only if it checks fencing', async () => {
    const strict = await startEngine({ checksFencing: true });
    expect(
      await sendOrder(strict, { fencing: '5', action: OrderAction.SetRole, value: 'prefill' }),
    ).to.equal(200);
    expect(
      await sendOrder(strict, { fencing: '4', action: OrderAction.SetRole, value: 'decode' }),
    ).to.equal(409);
    expect(strict.state.role).to.equal('prefill');
    const lax = await startEngine({ checksFencing: false });
    await sendOrder(lax, { fencing: '5', action: OrderAction.SetRole, value: 'prefill' });
    expect(
      await sendOrder(lax, { fencing: '4', action: OrderAction.SetRole, value: 'decode' }),
    ).to.equal(200);
    expect(lax.state.role).to.equal('decode');
  });

  it('loads a model only if the weight store serves its weights', async () => {
    const store = await new WeightStore({ readsPerSecond: 1 }).start();
    const engine = await startEngine({ weightStore: store.url, loadMs: 1 });
    const results = [
      await sendOrder(engine, { fencing: '1', action: OrderAction.LoadModel, value: 'n1' }),
      await sendOrder(engine, { fencing: '2', action: OrderAction.LoadModel, value: 'n2' }),
    ];
    await store.stop();
    expect(results).to.deep.equal([200, 503]);
    expect(engine.state.models).to.deep.equal([MODEL, 'n1']);
    expect(store.reads).to.deep.equal({ total: 2, refused: 1 });
  });
});
