/**
 * State of one member, as processes exchange it by gossip. The records of a host are totally ordered
 * and a merge keeps the greater one, so lost, repeated and reordered messages do no harm. Only the host
 * itself increments its version, which refutes a false suspicion by others.
 */
import type { Role } from '@poplarpick/kernel';

/** State of a member, in ascending order of precedence within one version. */
export enum MemberState {
  Alive = 'alive',
  /** A member could not reach it, and neither could the members that it asked to probe. */
  Suspect = 'suspect',
  /** It did not refute the suspicion within the timeout. */
  Down = 'down',
  /** It announced that it stops. */
  Left = 'left',
}

/** A process of the fleet and its state, as last reported. */
export interface MemberRecord {
  host: string;
  role: Role;
  dataCentre: string;
  /** Identifies one run of the process; changes at a restart. */
  incarnation: string;
  /** Incremented by the host itself at every refutation; starts at 1 again after a restart. */
  version: number;
  state: MemberState;
}

const PRECEDENCE = Object.values(MemberState);

/** Whether record `a` of a host takes precedence over record `b` of the same host. */
export function supersedes(a: MemberRecord, b: MemberRecord): boolean {
  if (a.version !== b.version) return a.version > b.version;
  if (a.state !== b.state) return PRECEDENCE.indexOf(a.state) > PRECEDENCE.indexOf(b.state);
  return a.incarnation > b.incarnation;
}

/** Whether the member is considered up, which includes suspects. */
export function isUp({ state }: MemberRecord): boolean {
  return state === MemberState.Alive || state === MemberState.Suspect;
}
