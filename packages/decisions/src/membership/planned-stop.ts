/**
 * Planned stops: hosts and endpoints that are drained and must receive no new work. The configuration
 * or the host list can mark a host; one mark is enough, regardless of whether the host is up.
 */

/** Source of a mark. */
export enum StopSource {
  Configuration = 'configuration',
  HostList = 'host-list',
}

/** Host and endpoint of a process that may be marked. */
export interface StopSubject {
  host: string;
  /** Name of the endpoint that a sidecar serves; absent for a router. */
  endpoint?: string | undefined;
}

/** Names of marked hosts and endpoints, by source. */
export interface StopMarks {
  /** Hosts and endpoints that the configuration lists as planned stops. */
  configured: ReadonlySet<string>;
  /** Hosts that the host list reports as leaving. */
  leaving: ReadonlySet<string>;
}

/** Marks of a fleet without planned stops. */
export const NO_STOP_MARKS: StopMarks = { configured: new Set(), leaving: new Set() };

/** Source of the mark of `host` or `endpoint`; undefined if neither is marked. */
export function findStopSource(
  marks: StopMarks,
  { host, endpoint }: StopSubject,
): StopSource | undefined {
  if (marks.configured.has(host)) return StopSource.Configuration;
  if (endpoint !== undefined && marks.configured.has(endpoint)) return StopSource.Configuration;
  return marks.leaving.has(host) ? StopSource.HostList : undefined;
}

/** Work that a host must finish before it can stop. */
export interface RemainingWork {
  /** Requests that are open or running. */
  inFlight: number;
  /** Answers that are complete but not yet delivered to their router. */
  unsettled: number;
}

/** Whether a host is marked and can be stopped without interrupting any work. */
export function isDrained(stop: StopSource | undefined, work: RemainingWork): boolean {
  return stop !== undefined && work.inFlight === 0 && work.unsettled === 0;
}
