/**
 * Identity of a process in its certificate: fleet, role and host, encoded as one URI in the subject
 * alternative names, such as `poplarpick://sicily/router/entry-1`.
 */

/** Identity of a process. */
export interface CertificateIdentity {
  fleet: string;
  role: string;
  host: string;
}

const SCHEME = 'poplarpick';

/** Formats an identity as a URI for a certificate. */
export function formatIdentity({ fleet, role, host }: CertificateIdentity): string {
  return `${SCHEME}://${[fleet, role, host].map(encodeURIComponent).join('/')}`;
}

/**
 * Parses the identity from a certificate's subject alternative names, in the format of Node.js
 * (`URI:…, URI:…`). Returns undefined if there is no identity, or more than one.
 */
export function parseIdentity(
  alternativeNames: string | undefined,
): CertificateIdentity | undefined {
  const identities = (alternativeNames ?? '')
    .split(', ')
    .filter((name) => name.startsWith(`URI:${SCHEME}://`))
    .map((name) => name.slice(`URI:${SCHEME}://`.length).split('/'));
  const [parts] = identities;
  if (identities.length !== 1 || parts?.length !== 3) return undefined;
  const [fleet, role, host] = parts.map(decodePart);
  if (fleet === undefined || role === undefined || host === undefined) return undefined;
  return { fleet, role, host };
}

/**
 * Describes the first difference between the identity in a peer's certificate and the one that the
 * peer claims; undefined if they match.
 */
export function findIdentityMismatch(
  certified: CertificateIdentity,
  claimed: CertificateIdentity,
): string | undefined {
  for (const key of ['fleet', 'role', 'host'] as const) {
    if (certified[key] !== claimed[key])
      return `certificate is of ${key} ${certified[key]}, not ${claimed[key]}`;
  }
  return undefined;
}

function decodePart(text: string): string | undefined {
  try {
    return decodeURIComponent(text) || undefined;
  } catch {
    return undefined;
  }
}
