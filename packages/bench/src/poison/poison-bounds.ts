/** The users' bounds on the figures of a poison replay. */
import type { PoisonResult } from './poison-tally.ts';

const MAX_LATE_POISON = 3;
const MIN_BEGUN_RATIO = 0.5;
const MAX_REFUSED_SHARE = 0.005;

/** A bound that a replay breaks. */
export enum BrokenBound {
  LatePoison = 'late-poison',
  FewBegun = 'few-begun',
  FirstSegmentBlocked = 'first-segment-blocked',
  SoundRefused = 'sound-refused',
}

/** The bounds that a result breaks. Those on sound requests refused hold for days without poison. */
export function findBrokenBounds(result: PoisonResult): BrokenBound[] {
  const { poisonPerSecond, latePoison, begunRatio = 1, refusedFirst, refusedShare } = result;
  const broken: BrokenBound[] = [];
  if (latePoison > MAX_LATE_POISON) broken.push(BrokenBound.LatePoison);
  if (begunRatio < MIN_BEGUN_RATIO) broken.push(BrokenBound.FewBegun);
  if (poisonPerSecond > 0) return broken;
  if (refusedFirst > 0) broken.push(BrokenBound.FirstSegmentBlocked);
  if (refusedShare > MAX_REFUSED_SHARE) broken.push(BrokenBound.SoundRefused);
  return broken;
}
