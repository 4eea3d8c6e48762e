/** Endpoints as they announce themselves: their identity, location and readiness for new requests. */

/** The announcement of one endpoint. */
export interface Endpoint {
  /** Identifies the endpoint. A restarted process may reuse it. */
  id: string;
  /**
   * Start of the endpoint's process in ms since the Unix epoch, or 0 if unknown. It tells apart the
   * incarnations with the same id.
   */
  startedAt: number;
  pool: string;
  /**
   * Version of the endpoint's software; undefined if it names none. A stream can't go on at another version than
   * the one that began it.
   */
  version?: string | undefined;
  /** `IP:port`. */
  address: string;
  dataCentre: string;
  /** Maximum number of requests that the endpoint runs at once. */
  slots: number;
  /** The endpoint finishes its requests and takes no new ones. */
  isDraining: boolean;
  /** Time for which the endpoint stays cold, in ms, as of its latest entry; undefined or 0 if it is warm. */
  warmUpMs?: number | undefined;
}

/** Identifies one incarnation of an endpoint: a restart or a new address yields another one. */
export function incarnationOf(endpoint: Endpoint): string {
  return `${endpoint.id}/${endpoint.startedAt}/${endpoint.address}`;
}
