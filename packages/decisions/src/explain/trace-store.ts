/**
 * In-memory store of the traces of recent requests: the last few thousand requests that a process
 * handled, each with its first and its latest events. Its size is bounded; the oldest request is evicted
 * first.
 */

/** Value of one field of an event's details. */
export type TraceDetail = string | number | boolean;

/** One event of a request, as one process recorded it. */
export interface TraceEvent {
  /** Wall-clock time of the process in milliseconds since the Unix epoch. */
  atMs: number;
  /** Name of the event; the same as in the log. */
  event: string;
  details: Record<string, TraceDetail>;
}

/** Events of one request that a process has stored. */
export interface RequestTrace {
  request: string;
  /** Undefined if no event named the workspace. */
  workspace: string | undefined;
  events: TraceEvent[];
  /** Number of events that were dropped because the request exceeded the event limit. */
  forgotten: number;
}

/** Options of a `TraceStore`. */
export interface TraceStoreOptions {
  /** Maximum number of requests in the store. */
  requestLimit?: number;
  /** Maximum number of events of one request. */
  eventLimit?: number;
}

const DEFAULT_REQUEST_LIMIT = 2_048;
const DEFAULT_EVENT_LIMIT = 32;

/** Stores the traces of the last requests. */
export class TraceStore {
  private readonly requestLimit: number;
  private readonly eventLimit: number;
  private readonly traces = new Map<string, RequestTrace>();

  constructor(options: TraceStoreOptions = {}) {
    this.requestLimit = options.requestLimit ?? DEFAULT_REQUEST_LIMIT;
    this.eventLimit = options.eventLimit ?? DEFAULT_EVENT_LIMIT;
  }

  /** Number of requests in the store. */
  get size(): number {
    return this.traces.size;
  }

  /** Appends an event to the trace of a request; the detail `workspace` sets the trace's workspace. */
  record(request: string, event: TraceEvent): void {
    const trace = this.traces.get(request) ?? this.createTrace(request);
    const { workspace } = event.details;
    if (typeof workspace === 'string') trace.workspace = workspace;
    trace.events.push(event);
    if (trace.events.length <= this.eventLimit) return;
    // The first event shows how the request started, so the second is dropped instead.
    trace.events.splice(1, 1);
    trace.forgotten += 1;
  }

  find(request: string): RequestTrace | undefined {
    return this.traces.get(request);
  }

  private createTrace(request: string): RequestTrace {
    const trace = { request, workspace: undefined, events: [], forgotten: 0 };
    this.traces.set(request, trace);
    if (this.traces.size <= this.requestLimit) return trace;
    const [oldest] = this.traces.keys();
    if (oldest !== undefined) this.traces.delete(oldest);
    return trace;
  }
}
