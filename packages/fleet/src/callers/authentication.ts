/** Keys of callers and operators. Only their hashes are known, and they are compared in constant time. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { FleetConfiguration } from '@poplarpick/decisions';

/** SHA-256 of a key, hexadecimal, as the fleet configuration holds it. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** The key in `Authorization: Bearer …`, or undefined. */
export function readBearerToken(request: IncomingMessage): string | undefined {
  const [scheme, key] = (request.headers.authorization ?? '').split(' ');
  return scheme?.toLowerCase() === 'bearer' ? key : undefined;
}

/** Whether the hash of `key` is among `hashes`. Looks at all of them, so that time tells nothing. */
export function matchesKeyHash(key: string | undefined, hashes: readonly string[]): boolean {
  if (key === undefined) return false;
  const digest = Buffer.from(hashKey(key), 'hex');
  let matches = false;
  for (const hash of hashes) {
    if (timingSafeEqual(digest, Buffer.from(hash, 'hex'))) matches = true;
  }
  return matches;
}

/** Finds workspaces by API key; rebuilt for each configuration. */
export class WorkspaceKeys {
  private readonly workspaceByHash = new Map<string, string>();

  constructor(configuration: FleetConfiguration) {
    for (const workspace of configuration.workspaces) {
      for (const hash of workspace.key_hashes) this.workspaceByHash.set(hash, workspace.name);
    }
  }

  /** Name of the workspace whose key this is. The lookup is by digest, so its time tells nothing of the key. */
  findWorkspace(key: string | undefined): string | undefined {
    return key === undefined ? undefined : this.workspaceByHash.get(hashKey(key));
  }
}
