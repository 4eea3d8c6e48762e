/**
 * Client of the platform's host list, which has live and leaving hosts and may lag behind. The published
 * protocol is `GET /v1/hosts`, which returns `{ "hosts": [{ id, role, dataCentre, address, state }] }`.
 */
import { request } from 'undici';
import { z } from 'zod';
import { Role } from '@poplarpick/kernel';

const REQUEST_TIMEOUT_MS = 3_000;

/** State of a host in the platform's host list. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

const hostSchema = z.object({
  id: z.string(),
  role: z.enum(Role),
  dataCentre: z.string(),
  /** Address for links; sidecars have none, since they only dial. */
  address: z.string().optional(),
  state: z.enum(HostState),
});

/** A host in the platform's host list. */
export type Host = z.output<typeof hostSchema>;

const hostListSchema = z.object({ hosts: z.array(hostSchema) });

/** Fetches the host list. Throws if the service does not return a valid one. */
export async function fetchHosts(baseUrl: string): Promise<Host[]> {
  const response = await request(`${baseUrl.replace(/\/$/, '')}/v1/hosts`, {
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
  });
  const body = await response.body.json();
  if (response.statusCode !== 200) throw new Error(`host list answered ${response.statusCode}`);
  return hostListSchema.parse(body).hosts;
}
