/**
 * Planned stops: hosts and endpoints that are to take no new work. A mark comes from the configuration
 * or from the host list; one of them is enough, whatever is known of the host's liveness.
 */

/** Where a mark comes from. */
export enum StopSource {
  Configuration = 'configuration',
  HostList = 'host-list',
}

/** Who may be marked. */
export interface StopSubject {
  host: string;
  /** Name of the endpoint beside which a sidecar runs. */
  endpoint?: string | undefined;
}

/** Names that are marked, by source. */
export interface StopMarks {
  /** Hosts and endpoints that the configuration marks. */
  configured: ReadonlySet<string>;
  /** Hosts that the host list shows as leaving. */
  leaving: ReadonlySet<string>;
}

/** No marks at all. */
export const NO_STOP_MARKS: StopMarks = { configured: new Set(), leaving: new Set() };

/** The source of a subject's mark; undefined where it is to go on working. */
export function findStopSource(
  marks: StopMarks,
  { host, endpoint }: StopSubject,
): StopSource | undefined {
  if (marks.configured.has(host)) return StopSource.Configuration;
  if (endpoint !== undefined && marks.configured.has(endpoint)) return StopSource.Configuration;
  return marks.leaving.has(host) ? StopSource.HostList : undefined;
}

/** Work that a host has to finish. */
export interface RemainingWork {
  /** Requests that are open or run. */
  inFlight: number;
  /** Answers that are finished but have not reached their router. */
  unsettled: number;
}

/** Whether a marked host can be taken without cutting anything off. */
export function isDrained(stop: StopSource | undefined, work: RemainingWork): boolean {
  return stop !== undefined && work.inFlight === 0 && work.unsettled === 0;
}
