import { expect } from 'chai';
import fc from 'fast-check';
import { v7 as makeUuid } from 'uuid';
import type { FleetConfiguration } from '../configuration/fleet-configuration.ts';
import { EndpointKind } from '../configuration/fleet-configuration.ts';
import { pickByRendezvous } from '../rendezvous/rendezvous.ts';
import {
  MAX_CLOCK_ERROR_MS,
  CONFIGURATION_PROPAGATION_MS,
  IdempotencyCache,
  MAX_KEY_AHEAD_MS,
  KEY_GUARD_INTERVAL_MS,
  KeyAction,
  parseKeyTime,
} from './idempotency-cache.ts';

const START = 1_800_000_000_000;
const LATER = START + 60_000;
const POOL = 'bookings';

function createConfiguration(...names: string[]): FleetConfiguration {
  const endpoints = names.map((name) => ({
    name,
    kind: EndpointKind.Application,
    service: POOL,
    models: [],
  }));
  return {
    endpoints,
    models: [],
    planned_stops: [],
    services: [{ name: POOL }],
  } as unknown as FleetConfiguration;
}

function createCache(options: { byteLimit?: number; startedAt?: number } = {}) {
  const startedAt = options.startedAt ?? START;
  const cache = new IdempotencyCache<{ text: string }>({
    endpoint: 'one',
    startedAt,
    ...options,
  });
  cache.applyConfiguration(createConfiguration('one'), startedAt);
  return cache;
}

function createRequest(createdAt: number, digest = 'digest', workspace = 'spa') {
  return { workspace, pool: POOL, key: makeUuid({ msecs: createdAt }), digest };
}

describe('IdempotencyCache', () => {
  it('parses the creation time of a key', () => {
    expect(parseKeyTime(makeUuid({ msecs: START }))).to.equal(START);
  });

  it('runs a key once, then returns the first answer, and refuses a different body', () => {
    const cache = createCache();
    const keyed = createRequest(LATER);
    expect(cache.decide(keyed, LATER).action).to.equal(KeyAction.Run);
    const answer = { text: 'first' };
    cache.recordStart(keyed, answer);
    expect(cache.decide(keyed, LATER)).to.deep.equal({ action: KeyAction.ReturnCached, answer });
    cache.recordEnd(keyed, 10);
    expect(cache.decide(keyed, LATER)).to.deep.equal({ action: KeyAction.ReturnCached, answer });
    expect(cache.decide({ ...keyed, digest: 'other' }, LATER).action).to.equal(KeyAction.Conflict);
    expect(cache.decide({ ...keyed, workspace: 'salt' }, LATER).action).to.equal(KeyAction.Run);
  });

  it('runs a key again if it has certainly not run', () => {
    const cache = createCache();
    const keyed = createRequest(LATER);
    cache.recordStart(keyed, { text: '' });
    cache.discard(keyed);
    expect(cache.decide(keyed, LATER).action).to.equal(KeyAction.Run);
  });

  it('never runs a key that an earlier process may have run, whatever the clock errors', () => {
    const error = fc.integer({ min: -MAX_CLOCK_ERROR_MS, max: MAX_CLOCK_ERROR_MS });
    fc.assert(
      fc.property(
        error,
        error,
        error,
        fc.nat(5_000),
        fc.nat(5_000),
        (caller, before, after, sent, gap) => {
          const keyed = createRequest(LATER + caller);
          const acceptedAt = LATER + sent;
          const earlier = createCache();
          if (earlier.decide(keyed, acceptedAt + before).action !== KeyAction.Run) return;
          const startedAt = acceptedAt + gap;
          const next = createCache({ startedAt: startedAt + after });
          expect(next.decide(keyed, startedAt + after).action).to.equal(KeyAction.Expired);
        },
      ),
    );
  });

  it('runs a fresh key soon after a start', () => {
    const cache = createCache();
    const createdAt = START + KEY_GUARD_INTERVAL_MS + 1;
    expect(cache.decide(createRequest(createdAt), createdAt).action).to.equal(KeyAction.Run);
    const ahead = createRequest(LATER + MAX_KEY_AHEAD_MS + 1);
    expect(cache.decide(ahead, LATER).action).to.equal(KeyAction.FromFuture);
  });

  it('treats keys no newer than an evicted key as expired', () => {
    const cache = createCache({ byteLimit: 4_000 });
    const keys = [0, 10, 20, 30].map((offset) => createRequest(LATER + offset));
    for (const keyed of keys) {
      cache.recordStart(keyed, { text: '' });
      cache.recordEnd(keyed, 1_000);
    }
    const actions = keys.map((keyed) => cache.decide(keyed, LATER + 40).action);
    expect(actions[0]).to.equal(KeyAction.Expired);
    expect(actions[3]).to.equal(KeyAction.ReturnCached);
    expect(cache.decide(createRequest(LATER), LATER + 40).action).to.equal(KeyAction.Expired);
    const large = createRequest(LATER + 50);
    cache.recordStart(large, { text: '' });
    cache.recordEnd(large, 10_000);
    expect(cache.decide(large, LATER + 60).action).to.equal(KeyAction.Expired);
  });

  it('does not run keys created before they were pinned to its endpoint', () => {
    const cache = createCache();
    const changedAt = LATER + 1_000;
    const moved = createRequestPinnedTo('two', ['one', 'two'], LATER);
    cache.applyConfiguration(createConfiguration('one', 'two'), LATER - 10_000);
    expect(cache.decide(moved, LATER).action).to.equal(KeyAction.PinnedElsewhere);
    cache.applyConfiguration(createConfiguration('one'), changedAt);
    expect(cache.decide(moved, changedAt).action).to.equal(KeyAction.Expired);
    const unmoved = createRequestPinnedTo('one', ['one', 'two'], LATER);
    expect(cache.decide(unmoved, changedAt).action).to.equal(KeyAction.Run);
    const after = changedAt + KEY_GUARD_INTERVAL_MS + CONFIGURATION_PROPAGATION_MS + 1;
    const fresh = createRequestPinnedTo('two', ['one', 'two'], after);
    expect(cache.decide(fresh, after).action).to.equal(KeyAction.Run);
  });
});

function createRequestPinnedTo(endpoint: string, names: string[], createdAt: number) {
  for (;;) {
    const keyed = createRequest(createdAt);
    if (pickByRendezvous(keyed.key, names) === endpoint) return keyed;
  }
}
