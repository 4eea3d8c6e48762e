/**
 * What is known of one member, as it is passed between processes. Records of a host are totally
 * ordered and merge by maximum, so loss, repetition and any order of arrival do no harm. Only the host
 * itself raises its version: by doing so it refutes whatever others believe of it.
 */
import type { Role } from '@poplarpick/kernel';

/** State of a member, in the order of precedence under one version. */
export enum MemberState {
  Alive = 'alive',
  /** Some member cannot reach it, nor can those that it asked. */
  Suspect = 'suspect',
  /** It has not refuted the suspicion in time. */
  Down = 'down',
  /** It has said that it stops. */
  Left = 'left',
}

/** One member. */
export interface MemberRecord {
  host: string;
  role: Role;
  dataCentre: string;
  /** Names one run of the process. */
  incarnation: string;
  /** Raised by the host itself at every refutation; restarts at 1. */
  version: number;
  state: MemberState;
}

const PRECEDENCE = Object.values(MemberState);

/** Whether `a` says more recent things of a host than `b`. */
export function supersedes(a: MemberRecord, b: MemberRecord): boolean {
  if (a.version !== b.version) return a.version > b.version;
  if (a.state !== b.state) return PRECEDENCE.indexOf(a.state) > PRECEDENCE.indexOf(b.state);
  return a.incarnation > b.incarnation;
}

/** Whether the member is taken for working. */
export function isUp({ state }: MemberRecord): boolean {
  return state === MemberState.Alive || state === MemberState.Suspect;
}
