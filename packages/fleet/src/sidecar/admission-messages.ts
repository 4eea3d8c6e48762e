/** Messages that the admission task of a sidecar handles, and the status that it reports. */
import type { FleetConfiguration } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import type { AttemptReference, BacklogUpdate, ResumeResult } from '../messages.ts';
import type { AnsweredClaim } from './claimer.ts';
import type { Execution } from './execution.ts';
import type { LoadReport } from './load-poller.ts';
import type { PowerStatus } from './slot-limiter.ts';

/** Kinds of messages to the admission task. */
export enum AdmissionMessageKind {
  Configure,
  PlannedStop,
  RouterJoined,
  ResumeAnswered,
  RouterLost,
  BacklogChanged,
  ClaimAnswered,
  TotalsReady,
  Cancel,
  Settle,
  FrameProduced,
  RunFinished,
  Flush,
  Tick,
  Drain,
  LoadReported,
  RevisionConfirmed,
  SuspendAnswered,
}

/** Messages to the admission task. */
export type AdmissionMessage =
  | { kind: AdmissionMessageKind.Configure; configuration: FleetConfiguration }
  | { kind: AdmissionMessageKind.PlannedStop; isMarked: boolean }
  | { kind: AdmissionMessageKind.RouterJoined; peer: Peer }
  | { kind: AdmissionMessageKind.ResumeAnswered; peer: Peer; answer: ResumeResult }
  | { kind: AdmissionMessageKind.RouterLost; peer: Peer }
  | { kind: AdmissionMessageKind.BacklogChanged; peer: Peer; backlog: BacklogUpdate }
  | { kind: AdmissionMessageKind.ClaimAnswered; claim: AnsweredClaim }
  | { kind: AdmissionMessageKind.TotalsReady }
  | { kind: AdmissionMessageKind.Cancel; reference: AttemptReference }
  | { kind: AdmissionMessageKind.Settle; reference: AttemptReference }
  | { kind: AdmissionMessageKind.FrameProduced; execution: Execution; data: Buffer; cost: number }
  | {
      kind: AdmissionMessageKind.RunFinished;
      execution: Execution;
      cost: number;
      error?: RequestError;
    }
  | { kind: AdmissionMessageKind.Flush }
  | { kind: AdmissionMessageKind.Tick }
  | { kind: AdmissionMessageKind.Drain }
  | { kind: AdmissionMessageKind.LoadReported; report: LoadReport }
  /** No higher revision was in force anywhere at the monotonic time `confirmedAt`. */
  | { kind: AdmissionMessageKind.RevisionConfirmed; revision: number; confirmedAt: number }
  | { kind: AdmissionMessageKind.SuspendAnswered; execution: Execution; isSuspended: boolean };

/** Status of the admission, as shown to operators. */
export interface AdmissionStatus {
  /** Slots that may be in use now. */
  slots: number;
  running: number;
  /** Claims that have been sent and not yet answered. */
  claiming: number;
  /** Runs that are suspended to stay within the power cap. */
  suspended: number;
  /** Executions, running or ended, that their router has not settled. */
  kept: number;
  draining: boolean;
  power: PowerStatus;
}
