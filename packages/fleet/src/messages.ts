/**
 * Messages between the processes of the system, carried by JSON-RPC 2.0 over links. Calls expect a
 * result; notices do not. Durations are relative, since the clocks of two hosts may differ.
 */
import type {
  ServiceAdjustment,
  DocumentDelta,
  DocumentVersion,
  MemberRecord,
  EndpointKind,
  EncodedNames,
} from '@poplarpick/decisions';
import type { ErrorCode, Role, Verdict } from '@poplarpick/kernel';

/** Methods of calls. */
export enum CallMethod {
  /** First on every link, by the process that dialled it. */
  Hello = 'hello',
  /** Sidecar to router: which requests it holds. */
  Resume = 'resume',
  /** Sidecar to router: a free slot asks for a request. */
  Claim = 'claim',
  /** Sidecar to the router that holds the ledger shard: what it has charged, and what has the fleet? */
  Report = 'report',
  /** Any process to any other: the document in force; carries the version that the sender has. */
  FetchConfiguration = 'configuration.fetch',
  /** Sidecar to router: whether its revision is still the highest. */
  ConfirmRevision = 'configuration.confirm',
  /** Any process to any other: whether it reaches a host. */
  Probe = 'membership.probe',
  /** Router to router: which records of members differ. */
  CompareMembers = 'membership.compare',
}

/** Methods of notices. */
export enum NotificationMethod {
  Heartbeat = 'heartbeat',
  /** Router to sidecar: what waits. */
  Backlog = 'backlog',
  /** Sidecar to router: parts of answers. */
  Frames = 'frames',
  /** Sidecar to router: an answer has ended. */
  End = 'end',
  /** Sidecar to router: a granted request was not run. */
  Refuse = 'refuse',
  /** Sidecar to the router that holds the ledger shard: what it has charged. */
  Service = 'service',
  /** Router to sidecar: nobody waits for the answer any more. */
  Cancel = 'cancel',
  /** Router to sidecar: the end has arrived, so the answer need not be kept. */
  Settle = 'settle',
  /** Either way: the sender has this version of the configuration in force. */
  Revision = 'revision',
  /** Either way: where operators reach the sender. */
  OperatorsAddress = 'operators.address',
  /** Either way: news of members. */
  Members = 'members',
}

/** Introduces the process that dialled a link; the other side answers with its own. */
export interface Hello {
  fleet: string;
  host: string;
  role: Role;
  dataCentre: string;
  /** UUIDv7 made at the start of the process. */
  incarnation: string;
  /** Name of the endpoint beside which a sidecar runs. */
  endpoint?: string | undefined;
}

/** One grant of a request. */
export interface AttemptReference {
  request: string;
  attempt: number;
}

/** Tells a router which of its requests the sidecar holds; sent before any claim on a new link. */
export interface ResumeRequest {
  /** Counts the resumptions of the sidecar's process; one that arrives after a later one is void. */
  sequence: number;
  held: AttemptReference[];
}

/** From where the router wants the frames of a held request. */
export interface ResumePoint extends AttemptReference {
  /** Sequence number of the first frame that the router lacks. */
  from: number;
}

/** What is to become of the held requests. */
export interface ResumeResult {
  resume: ResumePoint[];
  /** Held requests that the router no longer wants. */
  drop: AttemptReference[];
}

/** How many requests wait in one line of a router. */
export interface BacklogQueue {
  pool: string;
  workspace: string;
  pinned: boolean;
  count: number;
}

/** Lines that changed, or all lines where `full`. */
export interface BacklogUpdate {
  full: boolean;
  /** Counts what the router tells its sidecars; a count told later holds, whichever arrives first. */
  sequence: number;
  lines: BacklogQueue[];
}

/** A line that a claim accepts. */
export interface ClaimQueue {
  pool: string;
  workspace: string;
  pinned: boolean;
}

/** Asks for one request of the first line, in order of preference, that has one. */
export interface Claim {
  lines: ClaimQueue[];
}

/** One HTTP header. */
export interface Header {
  name: string;
  value: string;
}

/** What is to be run at the endpoint. */
export interface Job {
  kind: EndpointKind;
  /** Model or application service. */
  pool: string;
  workspace: string;
  method: string;
  path: string;
  headers: Header[];
  body: Uint8Array;
  /** Whether the request may run more than once. */
  repeatable: boolean;
  /** The caller's rough idea of the cost, in the pool's cost unit. */
  costHint?: number | undefined;
  /** The caller's idempotency key, a UUIDv7. */
  idempotencyKey?: string | undefined;
}

/** A request handed to one sidecar. */
export interface Grant {
  request: string;
  /** Counts the grants of the request; frames of an earlier one are dropped. */
  attempt: number;
  /** Time left until the caller's deadline. */
  deadlineMs: number;
  /** Whether the request was in the line that is pinned to the sidecar's endpoint. */
  pinned: boolean;
  job: Job;
}

/** The router's answer to a claim. */
export interface ClaimResult {
  grant?: Grant | undefined;
  /** Requests that are left in the line of the grant. */
  left?: number;
  /** As in the backlog notices; absent where the router will not grant to this sidecar. */
  sequence?: number;
}

/** A part of an answer. */
export interface AnswerFrame {
  request: string;
  attempt: number;
  /** Counts the frames of an attempt from 0. */
  sequence: number;
  data: Uint8Array;
}

/** Frames that were ready at the same moment. */
export interface AnswerFrameBatch {
  frames: AnswerFrame[];
}

/** Why an answer ended early. */
export interface AnswerFailure {
  code: ErrorCode;
  verdict: Verdict;
  message: string;
  retryAfterSeconds?: number | undefined;
}

/** The end of an answer: complete if there is no failure. */
export interface AnswerEnd {
  request: string;
  attempt: number;
  /** Number of frames of the whole answer. */
  frames: number;
  /** Bytes of all frames. */
  bytes: number;
  /** SHA-256 over all frames, hexadecimal. */
  digest: string;
  /** Cost of the answer in the pool's cost unit. */
  cost: number;
  failure?: AnswerFailure | undefined;
}

/** A granted request that the sidecar did not hand to its endpoint. */
export interface GrantRefusal {
  request: string;
  attempt: number;
  code: ErrorCode;
  message: string;
  /** Whether another endpoint may run it. */
  elsewhere: boolean;
  verdict: Verdict;
  retryAfterSeconds?: number | undefined;
}

/** Entries of a sidecar's account, in tenths of a cost unit. */
export interface EntryColumns extends EncodedNames {
  services: number[];
  pendings: number[];
}

/** Totals of workspaces, in tenths of a cost unit. */
export interface TotalColumns extends EncodedNames {
  services: number[];
}

/**
 * A sidecar's report to a ledger shard: entries and adjustments that may have changed since its last
 * report on this link; all of them in the first.
 */
export interface LedgerReport {
  kind: EndpointKind;
  /** Counts the reports of the sidecar's process from 1. */
  sequence: number;
  entries?: EntryColumns;
  adjustments?: ServiceAdjustment[];
}

/** A report that asks for the totals. */
export interface LedgerReportCall extends LedgerReport {
  /** Version of the last totals from this shard. */
  known: number;
}

/** What has changed since the version that a report names. */
export interface LedgerReportResult {
  version: number;
  totals?: TotalColumns;
  adjustments?: ServiceAdjustment[];
}

/** Address of a process for operators. */
export interface OperatorsAddress {
  /** `IP:port`. */
  address: string;
}

/** A published configuration document. */
export interface ConfigurationDocument {
  /** 0 where none is known. */
  revision: number;
  /** The document as published, in TOML. */
  text: string;
}

/** A router's answer to the question whether a revision is still the highest. */
export interface ConfirmRevisionResult {
  /** Revision that the router has in force. */
  revision: number;
  /** Time since the configuration service confirmed it to the router; absent if it has not. */
  serviceAgeMs?: number | undefined;
}

/** The document that a process has in force, whole or against the one that the asking process has. */
export interface FetchConfigurationResult {
  version: DocumentVersion;
  text?: string | undefined;
  delta?: DocumentDelta | undefined;
}

/** Asks whether the other process reaches a host. */
export interface Probe {
  host: string;
}

/** Whether it does. */
export interface ProbeResult {
  reached: boolean;
}

/** Summary of a member table: a hash for each bucket. */
export interface MemberTableHashes {
  summary: number[];
}

/** Records of members. */
export interface MemberRecords {
  records: MemberRecord[];
}

/** Parameters and results of the calls. */
export interface CallTypes {
  [CallMethod.Hello]: { params: Hello; result: Hello };
  [CallMethod.Resume]: { params: ResumeRequest; result: ResumeResult };
  [CallMethod.Claim]: { params: Claim; result: ClaimResult };
  [CallMethod.Report]: { params: LedgerReportCall; result: LedgerReportResult };
  [CallMethod.FetchConfiguration]: { params: DocumentVersion; result: FetchConfigurationResult };
  [CallMethod.ConfirmRevision]: { params: Record<string, never>; result: ConfirmRevisionResult };
  [CallMethod.Probe]: { params: Probe; result: ProbeResult };
  [CallMethod.CompareMembers]: { params: MemberTableHashes; result: MemberRecords };
}

/** Parameters of the notices. */
export interface NotificationTypes {
  [NotificationMethod.Heartbeat]: Record<string, never>;
  [NotificationMethod.Backlog]: BacklogUpdate;
  [NotificationMethod.Frames]: AnswerFrameBatch;
  [NotificationMethod.End]: AnswerEnd;
  [NotificationMethod.Refuse]: GrantRefusal;
  [NotificationMethod.Service]: LedgerReport;
  [NotificationMethod.Cancel]: AttemptReference;
  [NotificationMethod.Settle]: AttemptReference;
  [NotificationMethod.Revision]: DocumentVersion;
  [NotificationMethod.OperatorsAddress]: OperatorsAddress;
  [NotificationMethod.Members]: MemberRecords;
}

/** Messages that carry requests and answers; all others are control traffic. */
export const PAYLOAD_NOTIFICATIONS: ReadonlySet<string> = new Set([
  NotificationMethod.Frames,
  NotificationMethod.End,
]);
