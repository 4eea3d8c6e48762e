/**
 * Authentication of callers and operators by key. The configuration holds only SHA-256 hashes of the
 * keys. Lookups do not reveal key bytes through timing.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { FleetConfiguration } from '@poplarpick/decisions';

/** Returns the SHA-256 hash of a key in hexadecimal, as it appears in the fleet configuration. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Returns the token of `Authorization: Bearer …`, or undefined if there is none. */
export function readBearerToken(request: IncomingMessage): string | undefined {
  const [scheme, key] = (request.headers.authorization ?? '').split(' ');
  return scheme?.toLowerCase() === 'bearer' ? key : undefined;
}

/**
 * Whether the hash of `key` is among `hashes`. Compares against all of them in constant time, so that
 * the response time reveals nothing about the key.
 */
export function matchesKeyHash(key: string | undefined, hashes: readonly string[]): boolean {
  if (key === undefined) return false;
  const digest = Buffer.from(hashKey(key), 'hex');
  let matches = false;
  for (const hash of hashes) {
    if (timingSafeEqual(digest, Buffer.from(hash, 'hex'))) matches = true;
  }
  return matches;
}

/** Index of workspaces by the hash of their API keys; rebuilt for each configuration. */
export class WorkspaceKeys {
  private readonly workspaceByHash = new Map<string, string>();

  constructor(configuration: FleetConfiguration) {
    for (const workspace of configuration.workspaces) {
      for (const hash of workspace.key_hashes) this.workspaceByHash.set(hash, workspace.name);
    }
  }

  /**
   * Returns the name of the workspace to which an API key belongs. The lookup is by digest, so its
   * duration reveals nothing about the key.
   */
  findWorkspace(key: string | undefined): string | undefined {
    return key === undefined ? undefined : this.workspaceByHash.get(hashKey(key));
  }
}
