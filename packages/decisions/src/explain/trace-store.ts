/**
 * What a process remembers of the requests that it handled: the last few thousand requests, each with
 * its last events. The memory is bounded; the oldest request is forgotten first.
 */

/** Value of one detail of an event. */
export type TraceDetail = string | number | boolean;

/** One event in the life of a request, as one process saw it. */
export interface TraceEvent {
  /** Wall-clock time of the process in milliseconds since the Unix epoch. */
  atMs: number;
  /** Name of the event, as in the log. */
  event: string;
  details: Record<string, TraceDetail>;
}

/** What a process remembers of one request. */
export interface RequestTrace {
  request: string;
  /** Absent where the process never learned it. */
  workspace: string | undefined;
  events: TraceEvent[];
  /** Events that were forgotten, since the request had too many. */
  forgotten: number;
}

/** Options of a `TraceStore`. */
export interface TraceStoreOptions {
  /** Most requests remembered. */
  requestLimit?: number;
  /** Most events remembered of one request. */
  eventLimit?: number;
}

const DEFAULT_REQUEST_LIMIT = 2_048;
const DEFAULT_EVENT_LIMIT = 32;

/** Remembers the last requests. */
export class TraceStore {
  private readonly requestLimit: number;
  private readonly eventLimit: number;
  private readonly traces = new Map<string, RequestTrace>();

  constructor(options: TraceStoreOptions = {}) {
    this.requestLimit = options.requestLimit ?? DEFAULT_REQUEST_LIMIT;
    this.eventLimit = options.eventLimit ?? DEFAULT_EVENT_LIMIT;
  }

  /** Number of requests remembered. */
  get size(): number {
    return this.traces.size;
  }

  /** Notes an event of a request; the detail `workspace` says whose request it is. */
  record(request: string, event: TraceEvent): void {
    const trace = this.traces.get(request) ?? this.createTrace(request);
    const { workspace } = event.details;
    if (typeof workspace === 'string') trace.workspace = workspace;
    trace.events.push(event);
    if (trace.events.length <= this.eventLimit) return;
    // The first event says how the request began, so the second goes.
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
