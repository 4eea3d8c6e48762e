/** Crowds that are made from a seed: how many clients, what each writes, where it stops, and whether it reads. */
import { Random } from '@poplarpick/load';
import {
  openChunkedBody,
  openDeclaredBody,
  openHead,
  requestsAhead,
  wholeRequest,
} from './crowd.ts';
import type { Crowd, CrowdHead } from './crowd.ts';
import { callHead, HELD } from './router-site.ts';

const MIB = 1_048_576;
const CHUNK_SIZES = [1, 7, 200, 5_000, 65_536, 262_144];
const CONNECTIONS = [20, 60, 150, 290];
/** Most that one crowd sends, so that a weak host can play it. */
const MAX_CROWD_BYTES = 400 * MIB;
/** Most chunks or requests of one client: each costs its time, also on the side of the crowd. */
const MAX_PIECES = 150_000;

const WARM_UP = 20;

/** A crowd with what it does, for reports. */
export interface GeneratedCrowd extends Crowd {
  description: string;
}

/** Makes the crowd of a seed. */
export function generateCrowd(seed: number): GeneratedCrowd {
  const random = new Random(seed);
  // The first numbers of small seeds are alike.
  for (let count = 0; count < WARM_UP; count += 1) random.uniform();
  const connections = random.pick(CONNECTIONS);
  const bytes = Math.floor(
    Math.min(MAX_CROWD_BYTES / connections, random.boundedPareto(20_000, 4 * MIB - 1_024, 0.5)),
  );
  const chunkBytes = random.pick(CHUNK_SIZES);
  const head = pickHead(random);
  const kinds: Record<string, () => Iterable<Buffer>> = {
    'chunked body': () =>
      openChunkedBody(head, { bodyBytes: Math.min(bytes, chunkBytes * MAX_PIECES), chunkBytes }),
    'declared body': () => openDeclaredBody(head, bytes),
    'whole request': () => wholeRequest(head, bytes),
    'open head': () => openHead(head, Math.min(bytes, 60_000)),
    'requests ahead': () => requestsAhead({ ...head, method: 'GET' }, bytes),
  };
  const kind = random.pick(Object.keys(kinds));
  const reads = random.uniform() < 0.3;
  const description = `${connections} x ${kind}, ${bytes} bytes, chunks of ${chunkBytes}, ${head.target}${reads ? ', reads' : ''}`;
  return { connections, reads, description, write: kinds[kind] ?? (() => []) };
}

function pickHead(random: Random): CrowdHead {
  return random.pick<CrowdHead>([
    callHead('/once/a'),
    callHead(`/once/${HELD}`),
    callHead('/stream/a'),
    { target: '/unknown/', headers: { Host: 'h.example' } },
    { target: '/once/a', headers: { Host: 'h.example' } },
    { target: '/once/a' },
  ]);
}
