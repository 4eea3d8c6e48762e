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

function configurationOf(...names: string[]): FleetConfiguration {
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

function memoryOf(options: { byteLimit?: number; startedAt?: number } = {}) {
  const startedAt = options.startedAt ?? START;
  const memory = new IdempotencyCache<{ text: string }>({
    endpoint: 'one',
    startedAt,
    ...options,
  });
  memory.applyConfiguration(configurationOf('one'), startedAt);
  return memory;
}

function request(madeAt: number, digest = 'digest', workspace = 'spa') {
  return { workspace, pool: POOL, key: makeUuid({ msecs: madeAt }), digest };
}

describe('IdempotencyMemory', () => {
  it('reads the time of a key', () => {
    expect(parseKeyTime(makeUuid({ msecs: START }))).to.equal(START);
  });

  it('runs a key once, gives the first answer after that, and refuses another body', () => {
    const memory = memoryOf();
    const keyed = request(LATER);
    expect(memory.decide(keyed, LATER).action).to.equal(KeyAction.Run);
    const answer = { text: 'first' };
    memory.recordStart(keyed, answer);
    expect(memory.decide(keyed, LATER)).to.deep.equal({ action: KeyAction.ReturnCached, answer });
    memory.recordEnd(keyed, 10);
    expect(memory.decide(keyed, LATER)).to.deep.equal({ action: KeyAction.ReturnCached, answer });
    expect(memory.decide({ ...keyed, digest: 'other' }, LATER).action).to.equal(KeyAction.Conflict);
    expect(memory.decide({ ...keyed, workspace: 'salt' }, LATER).action).to.equal(KeyAction.Run);
  });

  it('runs a key again after it has certainly not run', () => {
    const memory = memoryOf();
    const keyed = request(LATER);
    memory.recordStart(keyed, { text: '' });
    memory.discard(keyed);
    expect(memory.decide(keyed, LATER).action).to.equal(KeyAction.Run);
  });

  it('never runs what an earlier process may have run, however the clocks are wrong', () => {
    const error = fc.integer({ min: -MAX_CLOCK_ERROR_MS, max: MAX_CLOCK_ERROR_MS });
    fc.assert(
      fc.property(
        error,
        error,
        error,
        fc.nat(5_000),
        fc.nat(5_000),
        (caller, before, after, sent, gap) => {
          const keyed = request(LATER + caller);
          const acceptedAt = LATER + sent;
          const earlier = memoryOf();
          if (earlier.decide(keyed, acceptedAt + before).action !== KeyAction.Run) return;
          const startedAt = acceptedAt + gap;
          const next = memoryOf({ startedAt: startedAt + after });
          expect(next.decide(keyed, startedAt + after).action).to.equal(KeyAction.Expired);
        },
      ),
    );
  });

  it('runs a fresh key soon after a start', () => {
    const memory = memoryOf();
    const madeAt = START + KEY_GUARD_INTERVAL_MS + 1;
    expect(memory.decide(request(madeAt), madeAt).action).to.equal(KeyAction.Run);
    const ahead = request(LATER + MAX_KEY_AHEAD_MS + 1);
    expect(memory.decide(ahead, LATER).action).to.equal(KeyAction.FromFuture);
  });

  it('treats keys as old as those that it had no room for as expired', () => {
    const memory = memoryOf({ byteLimit: 4_000 });
    const keys = [0, 10, 20, 30].map((offset) => request(LATER + offset));
    for (const keyed of keys) {
      memory.recordStart(keyed, { text: '' });
      memory.recordEnd(keyed, 1_000);
    }
    const actions = keys.map((keyed) => memory.decide(keyed, LATER + 40).action);
    expect(actions[0]).to.equal(KeyAction.Expired);
    expect(actions[3]).to.equal(KeyAction.ReturnCached);
    expect(memory.decide(request(LATER), LATER + 40).action).to.equal(KeyAction.Expired);
    const large = request(LATER + 50);
    memory.recordStart(large, { text: '' });
    memory.recordEnd(large, 10_000);
    expect(memory.decide(large, LATER + 60).action).to.equal(KeyAction.Expired);
  });

  it('does not run keys made before they were pinned to it', () => {
    const memory = memoryOf();
    const changedAt = LATER + 1_000;
    const moved = pinnedTo('two', ['one', 'two'], LATER);
    memory.applyConfiguration(configurationOf('one', 'two'), LATER - 10_000);
    expect(memory.decide(moved, LATER).action).to.equal(KeyAction.PinnedElsewhere);
    memory.applyConfiguration(configurationOf('one'), changedAt);
    expect(memory.decide(moved, changedAt).action).to.equal(KeyAction.Expired);
    const kept = pinnedTo('one', ['one', 'two'], LATER);
    expect(memory.decide(kept, changedAt).action).to.equal(KeyAction.Run);
    const after = changedAt + KEY_GUARD_INTERVAL_MS + CONFIGURATION_PROPAGATION_MS + 1;
    const fresh = pinnedTo('two', ['one', 'two'], after);
    expect(memory.decide(fresh, after).action).to.equal(KeyAction.Run);
  });
});

function pinnedTo(endpoint: string, names: string[], madeAt: number) {
  for (;;) {
    const keyed = request(madeAt);
    if (pickByRendezvous(keyed.key, names) === endpoint) return keyed;
  }
}
