/** Endpoints that announce themselves: who they are and whether they take new work. */

/** An endpoint as it announced itself. */
export interface Endpoint {
  /** Name of the endpoint; a restarted process may keep it. */
  id: string;
  /** Start of its process in ms since the Unix epoch, or 0; with the id it names an incarnation. */
  startedAt: number;
  pool: string;
  /** `IP:port`. */
  address: string;
  dataCentre: string;
  /** Requests that it works on at once. */
  slots: number;
  isDraining: boolean;
}

/** Names one life of an endpoint. */
export function incarnationOf(endpoint: Endpoint): string {
  return `${endpoint.id}/${endpoint.startedAt}/${endpoint.address}`;
}
