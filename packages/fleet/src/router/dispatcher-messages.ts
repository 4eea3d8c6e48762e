/** Messages that the dispatcher of a router handles. */
import type { FleetConfiguration, StopMarks } from '@poplarpick/decisions';
import type { Peer } from '../link/link-hub.ts';
import type {
  Claim,
  ClaimResult,
  AnswerEnd,
  AnswerFrame,
  GrantRefusal,
  ResumeRequest,
  ResumeResult,
} from '../messages.ts';
import type { RoutedRequest, Submission } from './routed-request.ts';

/** Kinds of dispatcher messages. */
export enum DispatcherMessageKind {
  Configure,
  PlannedStops,
  Submit,
  Abandon,
  Resume,
  LinkLost,
  Claim,
  Frames,
  End,
  Refuse,
  Tick,
  /** The delay before a retry has passed. */
  Retry,
  AnnounceBacklog,
}

/** A message to the dispatcher; `answer` returns the result of a call to the sidecar that made it. */
export type DispatcherMessage =
  | { kind: DispatcherMessageKind.Configure; configuration: FleetConfiguration }
  | { kind: DispatcherMessageKind.PlannedStops; marks: StopMarks }
  | { kind: DispatcherMessageKind.Submit; submission: Submission }
  | { kind: DispatcherMessageKind.Abandon; request: string }
  | {
      kind: DispatcherMessageKind.Resume;
      peer: Peer;
      resume: ResumeRequest;
      answer: (answer: ResumeResult) => void;
    }
  | { kind: DispatcherMessageKind.LinkLost; peer: Peer }
  | {
      kind: DispatcherMessageKind.Claim;
      peer: Peer;
      claim: Claim;
      answer: (answer: ClaimResult) => void;
    }
  | { kind: DispatcherMessageKind.Frames; peer: Peer; frames: AnswerFrame[] }
  | { kind: DispatcherMessageKind.End; peer: Peer; end: AnswerEnd }
  | { kind: DispatcherMessageKind.Refuse; peer: Peer; refusal: GrantRefusal }
  | { kind: DispatcherMessageKind.Tick }
  | { kind: DispatcherMessageKind.Retry; request: RoutedRequest }
  | { kind: DispatcherMessageKind.AnnounceBacklog };
