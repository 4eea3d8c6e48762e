/** Endpoints as they announce themselves: their identity, location and readiness for new requests. */
import { z } from 'zod';

/** Longest name of an endpoint, a pool, a version or a data centre, in characters, so that reports hold many. */
const MAX_NAME_LENGTH = 200;

/** Validates such a name. */
export const endpointNameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** Most requests that an endpoint can run at once: far above any real one, and harmless in sums and products. */
export const MAX_SLOTS = 1_000_000;

/** Longest time for which an endpoint stays cold, in ms. */
export const MAX_WARM_UP_MS = 86_400_000;

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
