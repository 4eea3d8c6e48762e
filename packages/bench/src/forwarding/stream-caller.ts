/** A caller on the users' platform that requests one stream. */
import { Agent, request } from 'node:http';
import type { Random } from '@poplarpick/load';
import { PLATFORM_API_KEYS } from '../platform-site/platform-site.ts';

/** Number of distinct prefixes that prompts share. */
const DISTINCT_PREFIXES = 200;
const SHARED_TOKENS = 2_000;
const UNIQUE_TOKENS = 1_000;
const OUTPUT_TOKENS = 100;
const BODY_BYTES = 3_000;
const HEX_RADIX = 16;

/** Outcome of a call. */
export interface StreamCallResult {
  /** HTTP status; 0 if the connection failed or the answer was broken off. */
  status: number;
  eventCount: number;
}

const agent = new Agent({ keepAlive: true });
const body = Buffer.alloc(BODY_BYTES, 'x');
let nextId = 0;

/** Makes one call and resolves when it has ended; it never rejects. */
export async function callStream(options: {
  address: string;
  random: Random;
}): Promise<StreamCallResult> {
  const { address, random } = options;
  const [host, port] = address.split(':');
  nextId += 1;
  const prefixId = random.integer(DISTINCT_PREFIXES).toString(HEX_RADIX);
  return new Promise((resolve) => {
    const result = { status: 0, eventCount: 0 };
    const exchange = request({
      agent,
      host,
      port,
      method: 'POST',
      path: '/stream/a',
      headers: {
        Host: 'h.example',
        'Attempt-Id': nextId.toString(HEX_RADIX),
        'Api-Key': random.pick(PLATFORM_API_KEYS),
        'Deadline-Ms': '15000',
        Model: 'm',
        'Token-Usage': `${SHARED_TOKENS + UNIQUE_TOKENS},${OUTPUT_TOKENS}`,
        'Prompt-Prefix': `a${prefixId}:${SHARED_TOKENS},f${nextId.toString(HEX_RADIX)}:${UNIQUE_TOKENS}`,
      },
    });
    exchange.once('error', () => resolve({ ...result, status: 0 }));
    exchange.once('response', (response) => {
      result.status = response.statusCode ?? 0;
      response.on('data', (chunk: Buffer) => {
        result.eventCount += chunk.toString('latin1').split('\n\n').length - 1;
      });
      response.once('error', () => resolve({ ...result, status: 0 }));
      response.once('end', () => resolve(result));
    });
    exchange.end(body);
  });
}
