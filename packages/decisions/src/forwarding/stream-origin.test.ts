import { expect } from 'chai';
import { CachedPrompts } from './cached-prompts.ts';
import type { Prompt } from './prompt.ts';
import { isOfOrigin, originOf, toStreamKeys, unprovedOrigin } from './stream-origin.ts';
import { StreamOriginTable } from './stream-origin-table.ts';

const V1 = { pool: 'p', version: 'v1' };
const V2 = { pool: 'p', version: 'v2' };
const KEEP_MS = 1_000;

const PROMPT: Prompt = {
  model: 'm',
  segments: [
    { id: 'shared', tokens: 100 },
    { id: 'own', tokens: 20 },
  ],
  inputTokens: 120,
  maxOutputTokens: 50,
  outputTokens: 30,
};

const ENDPOINT = {
  id: 'e',
  startedAt: 0,
  address: '10.0.0.1:80',
  dataCentre: 'z',
  slots: 8,
  isDraining: false,
  ...V1,
};

describe('the origin of a stream', () => {
  it('is the pool and version of an endpoint, and unknown where it names no version', () => {
    expect(originOf(ENDPOINT)).to.deep.equal(V1);
    expect(originOf({ ...ENDPOINT, version: undefined })).to.equal(undefined);
    expect(isOfOrigin(ENDPOINT, V1)).to.equal(true);
    expect(isOfOrigin({ ...ENDPOINT, version: undefined }, V1)).to.equal(false);
    expect(isOfOrigin({ ...ENDPOINT, pool: 'other' }, V1)).to.equal(false);
  });

  it('is that of no endpoint if the beginner of a stream is not proved', () => {
    const origin = unprovedOrigin(ENDPOINT.pool);
    expect(isOfOrigin({ ...ENDPOINT, ...origin }, origin)).to.equal(false);
  });

  it('has keys that differ by workspace, request and last segment', () => {
    const base = { workspace: 'w', requestId: 'r', prompt: PROMPT };
    const keys = toStreamKeys(base);
    expect(toStreamKeys({ ...base })).to.deep.equal(keys);
    expect(toStreamKeys({ ...base, requestId: 'r2' }).byPrompt).to.equal(keys.byPrompt);
    expect(toStreamKeys({ ...base, requestId: 'r2' }).byRequest).not.to.equal(keys.byRequest);
    expect(toStreamKeys({ ...base, workspace: 'w2' }).byPrompt).not.to.equal(keys.byPrompt);
    expect(toStreamKeys({ ...base, prompt: undefined }).byPrompt).to.equal(undefined);
    expect(Number.isSafeInteger(keys.byRequest)).to.equal(true);
  });

  it('is remembered for its time, and renewed by a repetition', () => {
    const table = new StreamOriginTable();
    table.record(1, V1, KEEP_MS, 0);
    table.record(1, V1, KEEP_MS, 500);
    expect(table.find(1, 1_499)).to.deep.equal(V1);
    expect(table.find(1, 1_500)).to.equal(undefined);
    expect(table.find(2, 0)).to.equal(undefined);
  });

  it('is unknown where streams of two versions have the same key', () => {
    const table = new StreamOriginTable();
    table.record(1, V1, KEEP_MS, 0);
    table.record(1, V2, KEEP_MS, 0);
    table.record(1, V2, KEEP_MS, 500);
    expect(table.find(1, 600)).to.equal(undefined);
    table.record(1, V2, KEEP_MS, 1_600);
    expect(table.find(1, 1_700)).to.deep.equal(V2);
  });
});

describe('cached prompts', () => {
  it('name the origin of all endpoints that list a segment, as long as the list is recent', () => {
    const prompts = new CachedPrompts();
    prompts.recordListing(V1, [{ hash: 1 }, { hash: 2 }], 0);
    prompts.recordListing(V1, [{ hash: 1 }], 100);
    expect(prompts.find(1, KEEP_MS, 1_100)?.origin).to.deep.equal(V1);
    expect(prompts.find(2, KEEP_MS, 1_001)?.origin).to.equal(undefined);
    expect(prompts.find(3, KEEP_MS, 0)?.origin).to.equal(undefined);
  });

  it('prove nothing where endpoints of two versions list a segment, or one without a version', () => {
    const prompts = new CachedPrompts();
    prompts.recordListing(V1, [{ hash: 1 }, { hash: 2 }], 0);
    prompts.recordListing(V2, [{ hash: 1 }], 0);
    prompts.recordListing(V1, [{ hash: 1 }], 0);
    prompts.recordListing(undefined, [{ hash: 2 }, { hash: 3 }], 0);
    for (const hash of [1, 2, 3])
      expect(prompts.find(hash, KEEP_MS, 0)?.origin).to.equal(undefined);
  });
});
