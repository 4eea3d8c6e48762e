import { expect } from 'chai';
import { CallKind } from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';
import { PlannedStop } from './planned-stop.ts';
import { createRoute } from './streams/testing/resumable-route.ts';

const GRACE_MS = 8_000;
/** The calls of a router are ended so long before the end of its grace. */
const MARGIN_MS = 700;

describe('a planned stop', () => {
  let now: number;
  let stop: PlannedStop;

  beforeEach(() => {
    now = 0;
    stop = new PlannedStop({ monotonic: () => now } as unknown as Clock);
  });

  it('has a cutoff, after which a request that takes long is not sent any more', () => {
    const route = { ...createRoute(), kind: CallKind.AtMostOnce, isResumable: false };
    stop.begin(GRACE_MS);
    expect(stop.isPastCutoff).to.equal(false);
    now = 7_000;
    expect(stop.isPastCutoff).to.equal(true);
    expect(stop.canHold({ route, deadlineAt: 20_000 })).to.equal(false);
  });

  // Guards against requests that are taken after a second signal and cut at the end of the first grace.
  it('ends when it was to, though it is asked for again', () => {
    stop.begin(GRACE_MS);
    now = 2_000;
    stop.begin(GRACE_MS);
    expect(stop.leftMs).to.equal(GRACE_MS - MARGIN_MS - 2_000);
    now = 2_900;
    expect(stop.isPastCutoff).to.equal(true);
  });
});
