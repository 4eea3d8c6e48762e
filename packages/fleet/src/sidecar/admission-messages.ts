/** Messages to the admission of a sidecar, and what it tells operators. */
import type { FleetConfiguration } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import type { AttemptReference, BacklogUpdate, ResumeResult } from '../messages.ts';
import type { AnsweredClaim } from './claimer.ts';
import type { Execution } from './execution.ts';
import type { LoadReport } from './load-watch.ts';
import type { PowerStatus } from './power-gate.ts';

/** Kinds of messages to the admission. */
export enum AdmissionMessageKind {
  Configure,
  PlannedStop,
  Join,
  Resumed,
  Lose,
  Backlog,
  Answered,
  Ready,
  Cancel,
  Settle,
  Produced,
  Finished,
  Flush,
  Tick,
  Drain,
  Load,
  Confirm,
  Suspended,
}

/** Messages to the admission. */
export type AdmissionMessage =
  | { kind: AdmissionMessageKind.Configure; configuration: FleetConfiguration }
  | { kind: AdmissionMessageKind.PlannedStop; marked: boolean }
  | { kind: AdmissionMessageKind.Join; peer: Peer }
  | { kind: AdmissionMessageKind.Resumed; peer: Peer; answer: ResumeResult }
  | { kind: AdmissionMessageKind.Lose; peer: Peer }
  | { kind: AdmissionMessageKind.Backlog; peer: Peer; backlog: BacklogUpdate }
  | { kind: AdmissionMessageKind.Answered; claim: AnsweredClaim }
  | { kind: AdmissionMessageKind.Ready }
  | { kind: AdmissionMessageKind.Cancel; reference: AttemptReference }
  | { kind: AdmissionMessageKind.Settle; reference: AttemptReference }
  | { kind: AdmissionMessageKind.Produced; execution: Execution; data: Buffer; cost: number }
  | {
      kind: AdmissionMessageKind.Finished;
      execution: Execution;
      cost: number;
      error?: RequestError;
    }
  | { kind: AdmissionMessageKind.Flush }
  | { kind: AdmissionMessageKind.Tick }
  | { kind: AdmissionMessageKind.Drain }
  | { kind: AdmissionMessageKind.Load; report: LoadReport }
  /** At the monotonic time `at` no higher revision was in force anywhere. */
  | { kind: AdmissionMessageKind.Confirm; revision: number; at: number }
  | { kind: AdmissionMessageKind.Suspended; execution: Execution; halted: boolean };

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
