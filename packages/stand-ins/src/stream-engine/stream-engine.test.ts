import { get } from 'node:http';
import { expect } from 'chai';
import { EngineConduct, EngineRecordKind } from './engine-conduct.ts';
import type { EngineRecord } from './engine-conduct.ts';
import { StreamEngine } from './stream-engine.ts';
import { parseAnswer, parseEvent } from './stream-text.ts';

const EVENTS = 6;
const AFTER = 3;

/** What the engine sends to a take-up after event 3 of 6: numbers of events (0: no event), and if it ends whole. */
const TAKE_UPS: [EngineConduct, number[], boolean][] = [
  [EngineConduct.Sound, [4, 5, 6], true],
  [EngineConduct.ExtraAnswer, [4, 5, 6], true],
  [EngineConduct.Early, [4, 5, 6], true],
  [EngineConduct.Unframed, [4, 5, 6], true],
  [EngineConduct.SkipEvent, [5, 6], true],
  [EngineConduct.RepeatEvent, [3, 4, 5, 6], true],
  [EngineConduct.FromStart, [1, 2, 3, 4, 5, 6], true],
  [EngineConduct.NoEvents, [], true],
  [EngineConduct.EventWithoutId, [0, 5, 6], true],
  [EngineConduct.NoStream, [0], true],
  [EngineConduct.Error, [0], true],
  [EngineConduct.ErrorWithoutSeal, [0], true],
  [EngineConduct.CloseInHead, [], false],
];

interface Received {
  status: number;
  body: string;
  isWhole: boolean;
}

describe('StreamEngine', () => {
  const records: EngineRecord[] = [];
  let engine: StreamEngine;

  before(async () => {
    const options = { id: 'e-1', version: 'v1', born: 1, port: 0, seed: 1, eventPauseMs: 1 };
    engine = await new StreamEngine(options, (record) => records.push(record)).start();
  });

  after(() => engine.stop());

  async function request(path: string, headers: Record<string, string> = {}): Promise<Received> {
    return new Promise((done) => {
      const options = { host: '127.0.0.1', port: engine.port, path, headers, agent: false };
      const sent = get({ ...options, headers: { 'Attempt-Id': 'a', ...headers } }, (response) => {
        let body = '';
        response.on('data', (bytes: Buffer) => (body += bytes.toString('latin1')));
        response.on('error', () => undefined);
        response.on('close', () =>
          done({ status: response.statusCode ?? 0, body, isWhole: response.complete }),
        );
      });
      sent.once('error', () => done({ status: 0, body: '', isWhole: false }));
    });
  }

  for (const [conduct, numbers, isWhole] of TAKE_UPS) {
    it(`answers a take-up as told: ${conduct}`, async () => {
      engine.conducts = { takeUpShare: 1, takeUp: [conduct], anyShare: 0, any: [] };
      const received = await request(`/middle/s/${EVENTS}`, { 'Last-Event-Id': String(AFTER) });
      const texts = received.body.split('\n\n').filter((text) => text !== '');
      expect(texts.map((text) => parseEvent(text)?.number ?? 0)).to.deep.equal(numbers);
      expect(received.isWhole).to.equal(isWhole);
      expect(records.at(-1)).to.include({ kind: EngineRecordKind.Ended, after: AFTER, conduct });
    });
  }

  for (const conduct of [EngineConduct.Reset, EngineConduct.Close]) {
    it(`breaks an answer off: ${conduct}`, async () => {
      engine.conducts = { takeUpShare: 0, takeUp: [], anyShare: 1, any: [conduct] };
      expect(await request('/once/p/0')).to.include({ isWhole: false });
    });
  }

  it('refuses a request that is meant for another engine, without running it', async () => {
    const { status } = await request('/once/p/0', { 'Expect-Instance': 'e-2' });
    expect(status).to.equal(421);
    expect(records.at(-1)).to.include({ kind: EngineRecordKind.Refused });
  });

  it('answers a plain request with a body that names it', async () => {
    engine.conducts = { takeUpShare: 0, takeUp: [], anyShare: 0, any: [] };
    const { body } = await request('/once/p/0');
    expect(parseAnswer(body)).to.deep.equal({ stream: 'p', run: 'e-1/1/a' });
  });
});
