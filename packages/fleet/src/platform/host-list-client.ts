/**
 * Client of the platform's host list, which has live and leaving hosts and may lag behind. The published
 * protocol is `GET /v1/hosts`, which returns `{ "hosts": [{ id, role, dataCentre, address, state }] }`. A host that
 * can't be read is left out, and the others hold: one odd entry must not keep the fleet from following the list.
 */
import { request } from 'undici';
import { z } from 'zod';
import { Role } from '@poplarpick/kernel';
import { isDialable } from '../address.ts';
import { LARGE_ANSWER_BYTES, readBoundedJson } from '../bounded-body.ts';

const REQUEST_TIMEOUT_MS = 3_000;

/** State of a host in the platform's host list. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

const hostSchema = z.object({
  id: z.string().min(1),
  role: z.enum(Role),
  dataCentre: z.string(),
  /** Address for links; sidecars have none, since they only dial. */
  address: z.string().refine(isDialable).optional(),
  state: z.enum(HostState),
});

/** A host in the platform's host list. */
export type Host = z.output<typeof hostSchema>;

const hostListSchema = z.object({ hosts: z.array(z.unknown()) });

/** The host list as it was read. */
export interface HostListing {
  hosts: Host[];
  /** Number of entries that can't be read as a host. */
  unreadable: number;
}

/** Fetches the host list. Throws if the service does not return one. */
export async function fetchHosts(baseUrl: string): Promise<HostListing> {
  const response = await request(`${baseUrl.replace(/\/$/, '')}/v1/hosts`, {
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
  });
  const body = await readBoundedJson(response.body, LARGE_ANSWER_BYTES);
  if (response.statusCode !== 200) throw new Error(`host list answered ${response.statusCode}`);
  const entries = hostListSchema.parse(body).hosts;
  const hosts = entries.flatMap((entry) => hostSchema.safeParse(entry).data ?? []);
  return { hosts, unreadable: entries.length - hosts.length };
}
