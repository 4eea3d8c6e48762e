/** A caller on the users' platform that asks for one stream. */
import { Agent, request } from 'node:http';
import type { Random } from '@poplarpick/load';
import { PLATFORM_API_KEYS } from '../platform-site/platform-site.ts';

/** Beginnings that prompts share. */
const BEGINNINGS = 200;
const SHARED_TOKENS = 2_000;
const OWN_TOKENS = 1_000;
const OUTPUT_TOKENS = 100;
const BODY_BYTES = 3_000;
const HEX = 16;

/** What came of a call. */
export interface StreamCallResult {
  status: number;
  eventCount: number;
}

const agent = new Agent({ keepAlive: true });
const body = Buffer.alloc(BODY_BYTES, 'x');
let nextId = 0;

/** Makes one call; resolves when it is over, with status 0 where it broke off. */
export async function callStream(options: {
  address: string;
  random: Random;
}): Promise<StreamCallResult> {
  const { address, random } = options;
  const [host, port] = address.split(':');
  nextId += 1;
  const beginning = random.integer(BEGINNINGS).toString(HEX);
  return new Promise((resolve) => {
    const outcome = { status: 0, eventCount: 0 };
    const exchange = request({
      agent,
      host,
      port,
      method: 'POST',
      path: '/stream/a',
      headers: {
        Host: 'h.example',
        'Attempt-Id': nextId.toString(HEX),
        'Api-Key': random.pick(PLATFORM_API_KEYS),
        'Deadline-Ms': '15000',
        Model: 'm',
        'Token-Usage': `${SHARED_TOKENS + OWN_TOKENS},${OUTPUT_TOKENS}`,
        'Prompt-Prefix': `a${beginning}:${SHARED_TOKENS},f${nextId.toString(HEX)}:${OWN_TOKENS}`,
      },
    });
    exchange.once('error', () => resolve({ ...outcome, status: 0 }));
    exchange.once('response', (response) => {
      outcome.status = response.statusCode ?? 0;
      response.on('data', (chunk: Buffer) => {
        outcome.eventCount += chunk.toString('latin1').split('\n\n').length - 1;
      });
      response.once('error', () => resolve({ ...outcome, status: 0 }));
      response.once('end', () => resolve(outcome));
    });
    exchange.end(body);
  });
}
