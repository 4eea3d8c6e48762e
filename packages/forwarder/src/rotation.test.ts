import { expect } from 'chai';
import { KeyFreshness } from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';
import type { PeerReport } from './peers/peer-table.ts';
import { Rotation, RotationObstacle } from './rotation.ts';
import type { RotationState } from './rotation.ts';

const REVOCATION_MS = 5_000;

describe('a router in the rotation of the load balancer', () => {
  let now: number;
  let peerAges: (number | undefined)[];
  let eventLoop: { isOverloaded: boolean; shouldMoveCallers: boolean };
  let freshness: KeyFreshness;
  let rotation: Rotation;

  beforeEach(() => {
    now = 0;
    peerAges = [];
    eventLoop = { isOverloaded: false, shouldMoveCallers: false };
    freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.confirm(now);
    const peers = { live: () => peerAges.map((stateAgeMs) => ({ stateAgeMs }) as PeerReport) };
    const clock = { monotonic: () => now } as unknown as Clock;
    const stop = { hasBegun: false };
    const state = { clock, stop, routes: {}, eventLoop, freshness, peers };
    rotation = new Rotation(state as unknown as RotationState);
  });

  it('is out of it once its keys are too old, and moves its callers though it has no reports', () => {
    now = freshness.maxAgeMs;
    expect(rotation.obstacle).to.equal(undefined);
    expect(rotation.shouldMoveCallers).to.equal(false);
    now += 1;
    expect(rotation.obstacle).to.equal(RotationObstacle.StaleKeys);
    expect(rotation.shouldMoveCallers).to.equal(true);
  });

  it('keeps its callers only if no peer can confirm keys', () => {
    now = freshness.maxAgeMs + 1;
    peerAges = [now, now, undefined];
    expect(rotation.shouldMoveCallers).to.equal(false);
    peerAges = [now, 100];
    expect(rotation.shouldMoveCallers).to.equal(true);
  });

  it('keeps its callers until the load balancer has noticed an overload', () => {
    eventLoop.isOverloaded = true;
    expect(rotation.obstacle).to.equal(RotationObstacle.Overloaded);
    expect(rotation.shouldMoveCallers).to.equal(false);
    eventLoop.shouldMoveCallers = true;
    expect(rotation.shouldMoveCallers).to.equal(true);
  });
});
