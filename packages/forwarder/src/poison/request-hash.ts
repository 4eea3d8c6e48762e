/**
 * Identifies a request by what its caller asks for, so that it is recognized when it comes again, at any router
 * and under another id.
 */
import { crc32 } from 'node:zlib';
import murmurhash from 'murmurhash';
import { toRequestHash } from '@poplarpick/decisions';
import type { SuspectHash } from '@poplarpick/decisions';

/** What identifies a request. */
export interface RequestIdentity {
  method: string;
  /** Path and query. */
  target: string;
  host: string;
  /** Undefined where anyone may call. */
  workspace: string | undefined;
  body: Buffer | undefined;
}

/** Hash of a request as a whole, as a suspect in crashes. */
export function hashRequest({
  method,
  target,
  host,
  workspace,
  body,
}: RequestIdentity): SuspectHash {
  const bodyHash = body === undefined ? '' : `${body.length}:${crc32(body)}`;
  const identity = JSON.stringify([method, host, target, workspace ?? '', bodyHash]);
  return toRequestHash(murmurhash.v3(identity));
}
