/**
 * A caller that behaves: one request on a new connection, which it sends at once and whose answer it reads. After an
 * answer that promises that the request has not run, it comes again when it was told to.
 */
import { request as httpRequest } from 'node:http';
import { sleep } from '@poplarpick/load';
import type { CrowdHead } from './crowd.ts';
import type { CrowdTarget } from './crowd-player.ts';

/** Longest time for which it waits, in ms; far longer than any answer takes. */
const PATIENCE_MS = 30_000;
/** Statuses that promise that the request has not run and never will. */
export const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const DEFAULT_RETRY_AFTER_S = 0.2;
const MS_PER_SECOND = 1_000;

/** The whole answer to one try. */
export interface OrdinaryAnswer {
  status: number;
  /** When the caller may come again, in seconds. */
  retryAfterS: number;
}

/** Sends one request. Resolves with the status of its whole answer. Rejects if there is none. */
export async function sendOrdinaryRequest(
  target: CrowdTarget,
  head: CrowdHead,
  body = '',
): Promise<number> {
  const until = performance.now() + PATIENCE_MS;
  for (;;) {
    const { status, retryAfterS } = await sendOnce(target, head, body);
    const mayRetry = PROMISES.has(status) && performance.now() < until;
    if (!mayRetry) return status;
    await sleep(retryAfterS * MS_PER_SECOND);
  }
}

/** Sends one try on a new connection. Rejects if there is no whole answer. */
export async function sendOnce(
  target: CrowdTarget,
  { method = 'POST', target: path, headers = {} }: CrowdHead,
  body: string,
): Promise<OrdinaryAnswer> {
  return new Promise((resolve, reject) => {
    const options = { ...target, method, path, agent: false, timeout: PATIENCE_MS };
    const request = httpRequest({ ...options, headers }, (response) => {
      const retryAfter = response.headers['retry-after'];
      const retryAfterS = retryAfter === undefined ? DEFAULT_RETRY_AFTER_S : Number(retryAfter);
      response.resume();
      response.once('end', () => resolve({ status: response.statusCode ?? 0, retryAfterS }));
      response.once('error', reject);
    });
    request.once('timeout', () => request.destroy(new Error('no answer')));
    request.once('error', reject);
    request.end(body);
  });
}
