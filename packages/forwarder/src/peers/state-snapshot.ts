/** Snapshot of the store's state that a router serves to its peers as JSON: routes and endpoints. */
import murmurhash from 'murmurhash';
import { z } from 'zod';
import { isAddress } from '@poplarpick/fleet/address';
import { CallKind, endpointNameSchema, MAX_SLOTS, MAX_WARM_UP_MS } from '@poplarpick/decisions';
import type { Endpoint, RoutingTable } from '@poplarpick/decisions';

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum(CallKind),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  pauseMs: z.number(),
  targets: z.array(z.object({ pool: z.string(), weight: z.number() })),
  maxAttempts: z.number(),
  isPublic: z.boolean(),
  isResumable: z.boolean(),
  regions: z.array(z.string()).optional(),
});

const routingTableSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  pools: z.array(
    z.object({
      name: z.string(),
      connectionLimit: z.number(),
      batch: z
        .object({
          cacheTokens: z.number(),
          transfer: z.object({ bytesPerToken: z.number(), bytesPerMs: z.number() }).optional(),
        })
        .optional(),
      warmUpPerSecond: z.number().optional(),
    }),
  ),
  limits: z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
  tokensPerSecond: z.number(),
  workspaces: z
    .array(
      z.object({
        name: z.string(),
        keys: z.array(z.string()),
        regions: z.array(z.string()).optional(),
      }),
    )
    .optional(),
}) satisfies z.ZodType<RoutingTable>;

const endpointSchema = z.object({
  id: endpointNameSchema,
  startedAt: z.number(),
  pool: endpointNameSchema,
  version: endpointNameSchema.optional(),
  address: z.string().refine(isAddress),
  dataCentre: endpointNameSchema,
  slots: z.number().positive().max(MAX_SLOTS),
  isDraining: z.boolean(),
  warmUpMs: z.number().nonnegative().max(MAX_WARM_UP_MS).optional(),
}) satisfies z.ZodType<Endpoint>;

/**
 * A list of endpoints without those that can't be read. Another router may have taken an entry that this one
 * can't use; the others hold.
 */
const endpointListSchema = z
  .array(endpointSchema.or(z.null()).catch(null))
  .transform((endpoints) => endpoints.filter((endpoint) => endpoint !== null));

/** A router's copy of the store's state and its age; serialised under these field names. */
export interface StateSnapshot {
  /** Time since the routes were last confirmed as the newest, in ms; absent if they never were. */
  routesAgeMs?: number | undefined;
  /** Time since the list of endpoints was last confirmed as complete, in ms; absent if it never was. */
  endpointsAgeMs?: number | undefined;
  /** Time since the router itself last read the store, in ms; absent if it never has. */
  readAgeMs?: number | undefined;
  version?: number | undefined;
  /** The list of endpoints was confirmed as complete after the request had arrived, which had asked for it. */
  isConfirmed?: boolean | undefined;
  /** Absent if the requesting router has the same version. */
  routes?: RoutingTable | undefined;
  /** Absent if the requesting router has the same list. */
  endpoints?: readonly Endpoint[] | undefined;
  /** Evacuated data centres, as of the list of endpoints; absent in snapshots of older versions. */
  evacuated?: readonly string[] | undefined;
}

/** Validates a snapshot from a peer. */
export const stateSnapshotSchema = z.object({
  routesAgeMs: z.number().nonnegative().optional(),
  endpointsAgeMs: z.number().nonnegative().optional(),
  readAgeMs: z.number().nonnegative().optional(),
  version: z.number().optional(),
  isConfirmed: z.boolean().optional(),
  routes: routingTableSchema.optional(),
  endpoints: endpointListSchema.optional(),
  evacuated: z.array(z.string()).optional(),
}) satisfies z.ZodType<StateSnapshot>;

/** Hashes a list of endpoints, in any order, for the comparison between routers. */
export function hashEndpoints(endpoints: readonly Endpoint[]): string {
  const sorted = [...endpoints].sort((a, b) => (a.id < b.id ? -1 : 1));
  const fields = sorted.map((endpoint) => [
    endpoint.id,
    endpoint.startedAt,
    endpoint.pool,
    endpoint.version,
    endpoint.address,
    endpoint.dataCentre,
    endpoint.slots,
    endpoint.isDraining,
    endpoint.warmUpMs,
  ]);
  return murmurhash.v3(JSON.stringify(fields)).toString(16);
}
