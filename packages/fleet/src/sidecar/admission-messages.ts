/** Messages to the admission of a sidecar, and what it tells operators. */
import type { FleetConfiguration } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import type { AttemptReference, BacklogUpdate, ResumeResult } from '../messages.ts';
import type { AnsweredClaim } from './claimer.ts';
import type { Execution } from './execution.ts';
import type { LoadReport } from './load-poller.ts';
import type { PowerStatus } from './slot-limiter.ts';

/** Kinds of messages to the admission. */
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

/** Messages to the admission. */
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
  /** At the monotonic time `at` no higher revision was in force anywhere. */
  | { kind: AdmissionMessageKind.RevisionConfirmed; revision: number; confirmedAt: number }
  | { kind: AdmissionMessageKind.SuspendAnswered; execution: Execution; isSuspended: boolean };

/** What the admission tells operators. */
export interface AdmissionStatus {
  slots: number;
  running: number;
  claiming: number;
  /** Runs that are halted to keep the power cap. */
  suspended: number;
  kept: number;
  draining: boolean;
  power: PowerStatus;
}
