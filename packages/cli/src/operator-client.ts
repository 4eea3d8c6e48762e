/** Client of the operators' interface of a process. */
import { request } from 'undici';

const TIMEOUT_MS = 3_000;

/** Status of a process; sections beside these depend on its role. */
export interface ProcessStatus extends Record<string, unknown> {
  process: {
    host: string;
    role: string;
    dataCentre: string;
    incarnation: string;
    pid: number;
    rssBytes: number;
  };
  configuration: { revision: number; preset: string | null; refused: unknown };
}

/** Reads the status of the process at a base URL. Rejects where it cannot be had. */
export async function fetchStatus(url: string, key: string): Promise<ProcessStatus> {
  const response = await request(`${url.replace(/\/$/, '')}/v1/status`, {
    headers: { authorization: `Bearer ${key}` },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });
  const body = await response.body.json();
  if (response.statusCode !== 200) throw new Error(`answered ${response.statusCode}`);
  return body as ProcessStatus;
}
