/**
 * Messages between the processes of the fleet, carried by JSON-RPC 2.0 over links. A call expects a
 * result, a notification does not. Method and field names are sent as they are written here. Times are
 * sent as durations, because the clocks of two hosts may differ.
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

/** Methods of calls, sent as JSON-RPC requests with an id. */
export enum CallMethod {
  /** First call on every link, from the process that dialled it: identifies the sender. */
  Hello = 'hello',
  /** Sidecar to router: lists the requests of the router that the sidecar still has. */
  Resume = 'resume',
  /** Sidecar to router: requests work for a free slot. */
  Claim = 'claim',
  /** Sidecar to the router with a ledger shard: reports its service and asks for the fleet's totals. */
  Report = 'report',
  /** Between any processes: fetches the configuration in force, given the version that the caller has. */
  FetchConfiguration = 'configuration.fetch',
  /** Sidecar to router: asks for the router's revision, to confirm that its own is the latest. */
  ConfirmRevision = 'configuration.confirm',
  /** Between any processes: asks whether the receiver can reach a host (indirect probe). */
  Probe = 'membership.probe',
  /** Router to router: asks for the member records in which the two tables differ (anti-entropy). */
  CompareMembers = 'membership.compare',
}

/** Methods of notifications, sent as JSON-RPC requests without an id. */
export enum NotificationMethod {
  /** Either direction: shows that the sender and the link are alive. */
  Heartbeat = 'heartbeat',
  /** Router to sidecar: the lengths of the router's queues. */
  Backlog = 'backlog',
  /** Sidecar to router: frames of answers. */
  Frames = 'frames',
  /** Sidecar to router: an answer has ended. */
  End = 'end',
  /** Sidecar to router: a granted request was refused and not run. */
  Refuse = 'refuse',
  /** Sidecar to the router with a ledger shard: reports its service without asking for totals. */
  Service = 'service',
  /** Router to sidecar: the answer is no longer needed. */
  Cancel = 'cancel',
  /** Router to sidecar: the end was received, so the sidecar may discard the answer. */
  Settle = 'settle',
  /** Either direction: the version of the configuration that the sender has in force. */
  Revision = 'revision',
  /** Either direction: the address of the sender's operator interface. */
  OperatorsAddress = 'operators.address',
  /** Either direction: new or changed member records (gossip). */
  Members = 'members',
}

/** Identity of a process. The dialling side sends it as the params of the call, the other as the result. */
export interface Hello {
  fleet: string;
  host: string;
  role: Role;
  dataCentre: string;
  /** UUIDv7 generated when the process starts, which distinguishes it from its predecessors. */
  incarnation: string;
  /** Name of the endpoint that a sidecar serves; absent for a router. */
  endpoint?: string | undefined;
}

/** Identifies one attempt at a request, which is one grant of it to a sidecar. */
export interface AttemptReference {
  request: string;
  attempt: number;
}

/** Lists the attempts that a sidecar still has for a router; sent before any claim on a new link. */
export interface ResumeRequest {
  /** Numbers the resume calls of the sidecar's process; the router rejects one that a later call overtook. */
  sequence: number;
  held: AttemptReference[];
}

/** Position from which the sidecar continues to send the frames of an attempt. */
export interface ResumePoint extends AttemptReference {
  /** Sequence number of the first frame that the router has not received. */
  from: number;
}

/** The router's decision on each attempt that the sidecar listed. */
export interface ResumeResult {
  resume: ResumePoint[];
  /** Attempts that the router no longer needs; the sidecar cancels them. */
  drop: AttemptReference[];
}

/** Length of one queue of a router. */
export interface BacklogQueue {
  pool: string;
  workspace: string;
  /** Whether it is the queue of requests that only the receiving sidecar's endpoint may run. */
  pinned: boolean;
  count: number;
}

/** Lengths of the queues that have changed, or of all queues if `full`. */
export interface BacklogUpdate {
  full: boolean;
  /**
   * Numbers the queue lengths that the router reports, in updates and in results of claims. Where two
   * reports differ, the one with the higher number is valid, in whatever order they arrive.
   */
  sequence: number;
  lines: BacklogQueue[];
}

/** A queue from which a claim accepts a request. */
export interface ClaimQueue {
  pool: string;
  workspace: string;
  /** Whether it is the queue of requests that only the claiming sidecar's endpoint may run. */
  pinned: boolean;
}

/** Claims one request, from the first of the listed queues that is not empty. */
export interface Claim {
  /** Queues in order of preference. */
  lines: ClaimQueue[];
}

/** One HTTP header. */
export interface Header {
  name: string;
  value: string;
}

/** The request that the endpoint is to run. */
export interface Job {
  kind: EndpointKind;
  /** Name of the model or application service. */
  pool: string;
  workspace: string;
  method: string;
  path: string;
  headers: Header[];
  body: Uint8Array;
  /** Whether the request is idempotent, so that it may run more than once. */
  repeatable: boolean;
  /** The caller's estimate of the cost, in the pool's cost unit. */
  costHint?: number | undefined;
  /** The caller's idempotency key, a UUIDv7. */
  idempotencyKey?: string | undefined;
}

/** A request that a router assigns to a sidecar. */
export interface Grant {
  request: string;
  /** Numbers the grants of the request; the router drops the frames of earlier ones. */
  attempt: number;
  /** Time left until the caller's deadline, in milliseconds. */
  deadlineMs: number;
  /** Whether only the sidecar's endpoint may run the request. */
  pinned: boolean;
  job: Job;
}

/** Result of a claim; without a grant if the queues are empty or the sidecar may not claim. */
export interface ClaimResult {
  grant?: Grant | undefined;
  /** Number of requests that remain in the queue of the grant. */
  left?: number;
  /** As in `BacklogUpdate`; absent if the router does not grant requests to this sidecar. */
  sequence?: number;
}

/** A chunk of an answer. */
export interface AnswerFrame {
  request: string;
  attempt: number;
  /** Numbers the frames of an attempt from 0. */
  sequence: number;
  data: Uint8Array;
}

/** Frames, possibly of several answers, that became ready together. */
export interface AnswerFrameBatch {
  frames: AnswerFrame[];
}

/** Reason for which an answer ended without being complete. */
export interface AnswerFailure {
  code: ErrorCode;
  verdict: Verdict;
  message: string;
  retryAfterSeconds?: number | undefined;
}

/** The end of an answer, which is complete unless `failure` is set. */
export interface AnswerEnd {
  request: string;
  attempt: number;
  /** Number of frames of the answer. */
  frames: number;
  /** Total size of the frames in bytes. */
  bytes: number;
  /** SHA-256 of the data of all frames, in hexadecimal. */
  digest: string;
  /** Cost of the answer in the pool's cost unit. */
  cost: number;
  failure?: AnswerFailure | undefined;
}

/** A granted request that the sidecar refused instead of sending it to its endpoint. */
export interface GrantRefusal {
  request: string;
  attempt: number;
  code: ErrorCode;
  message: string;
  /** Whether another endpoint may run the request. */
  elsewhere: boolean;
  verdict: Verdict;
  retryAfterSeconds?: number | undefined;
}

/** Entries of a sidecar's service account as columns, in tenths of a cost unit. */
export interface EntryColumns extends EncodedNames {
  services: number[];
  pendings: number[];
}

/** Total service of each workspace as columns, in tenths of a cost unit. */
export interface TotalColumns extends EncodedNames {
  services: number[];
}

/**
 * A sidecar's report to a ledger shard. The first report on a link has all entries and adjustments,
 * each later one those that may have changed since the previous one.
 */
export interface LedgerReport {
  kind: EndpointKind;
  /** Numbers the reports of the sidecar's process from 1. */
  sequence: number;
  entries?: EntryColumns;
  adjustments?: ServiceAdjustment[];
}

/** A report that also asks for the totals that have changed. */
export interface LedgerReportCall extends LedgerReport {
  /** Version of the last totals that the sidecar received from this shard. */
  known: number;
}

/** Totals and adjustments that have changed since the version in the report. */
export interface LedgerReportResult {
  version: number;
  totals?: TotalColumns;
  adjustments?: ServiceAdjustment[];
}

/** Address of the sender's operator interface. */
export interface OperatorsAddress {
  /** `IP:port`. */
  address: string;
}

/** A published configuration document. */
export interface ConfigurationDocument {
  /** Revision number; 0 if no document is known. */
  revision: number;
  /** The document as published, in TOML. */
  text: string;
}

/** State of a router's configuration, from which a sidecar confirms that its own is the latest. */
export interface ConfirmRevisionResult {
  /** Revision that the router has in force. */
  revision: number;
  /** Time since the configuration service confirmed it to the router, in milliseconds; absent if never. */
  serviceAgeMs?: number | undefined;
}

/** The configuration in force: the full text, or a delta from the version that the caller has. */
export interface FetchConfigurationResult {
  version: DocumentVersion;
  text?: string | undefined;
  delta?: DocumentDelta | undefined;
}

/** Asks whether the receiver can reach a host. */
export interface Probe {
  host: string;
}

/** Result of a probe. */
export interface ProbeResult {
  reached: boolean;
}

/** Bucket hashes of a member table, by which two tables are compared. */
export interface MemberTableHashes {
  summary: number[];
}

/** Member records to merge into the receiver's table. */
export interface MemberRecords {
  records: MemberRecord[];
}

/** Types of the params and the result of each call. */
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

/** Type of the params of each notification. */
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

/** Notifications that carry answers and count as payload; all others are control traffic. */
export const PAYLOAD_NOTIFICATIONS: ReadonlySet<string> = new Set([
  NotificationMethod.Frames,
  NotificationMethod.End,
]);
