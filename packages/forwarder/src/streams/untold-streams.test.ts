import { expect } from 'chai';
import type { Route } from '@poplarpick/decisions';
import { createRoute } from './testing/resumable-route.ts';
import { UntoldStreams } from './untold-streams.ts';

const ORIGIN = { pool: 'p', version: 'v1' };
const KEEP_MS = 20_000;

describe('streams whose keepers were not told', () => {
  const moved = createRoute('moved');
  const kept = createRoute('kept');
  const isInferable = (route: Route): boolean => route !== moved;
  let streams: UntoldStreams;

  beforeEach(() => {
    streams = new UntoldStreams();
  });

  function record(id: number, route = moved): void {
    const keys = { byRequest: id, byPrompt: undefined };
    streams.record({ keys, origin: ORIGIN, route, validUntil: KEEP_MS });
  }

  function take(limit = 10, now = 0): (number | undefined)[] {
    return streams.take({ isInferable, limit, now }).map(({ keys }) => keys.byRequest);
  }

  it('are taken once their route is not inferable any more, each once', () => {
    record(1);
    record(2, kept);
    expect(take()).to.deep.equal([1]);
    expect(take()).to.deep.equal([]);
    expect(streams.size).to.equal(1);
  });

  it('are taken a few at a time, the newest first', () => {
    for (const id of [1, 2, 3]) record(id);
    expect(take(2)).to.deep.equal([3, 2]);
    expect(take(2)).to.deep.equal([1]);
  });

  it('are forgotten when they have ended whole, or when nobody can resume them any more', () => {
    record(1);
    record(2, kept);
    streams.forget({ byRequest: 1, byPrompt: undefined });
    expect(take(10, KEEP_MS)).to.deep.equal([]);
    expect(streams.size).to.equal(0);
  });
});
