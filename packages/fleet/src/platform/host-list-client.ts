/**
 * Client of the platform's list of hosts, which shows live and leaving hosts and lags. Published
 * protocol: `GET /v1/hosts` answering `{ "hosts": [{ id, role, dataCentre, address, state }] }`.
 */
import { request } from 'undici';
import { z } from 'zod';
import { Role } from '@poplarpick/kernel';

const REQUEST_TIMEOUT_MS = 3_000;

/** State of a host as the platform lists it. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

const hostSchema = z.object({
  id: z.string(),
  role: z.enum(Role),
  dataCentre: z.string(),
  /** Address for links; sidecars have none, since they dial. */
  address: z.string().optional(),
  state: z.enum(HostState),
});

/** A host as the platform lists it. */
export type Host = z.output<typeof hostSchema>;

const hostListSchema = z.object({ hosts: z.array(hostSchema) });

/** Reads the list of hosts. Throws where the service gives no usable answer. */
export async function fetchHosts(baseUrl: string): Promise<Host[]> {
  const response = await request(`${baseUrl.replace(/\/$/, '')}/v1/hosts`, {
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
  });
  const body = await response.body.json();
  if (response.statusCode !== 200) throw new Error(`host list answered ${response.statusCode}`);
  return hostListSchema.parse(body).hosts;
}
