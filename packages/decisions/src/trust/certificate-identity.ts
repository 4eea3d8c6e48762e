/**
 * What a certificate says of a process: fleet, role and host, as one URI among the subject's
 * alternative names, such as `poplarpick://sicily/router/entry-1`.
 */

/** Who a process is. */
export interface CertificateIdentity {
  fleet: string;
  role: string;
  host: string;
}

const SCHEME = 'poplarpick';

/** The URI of an identity. */
export function formatIdentity({ fleet, role, host }: CertificateIdentity): string {
  return `${SCHEME}://${[fleet, role, host].map(encodeURIComponent).join('/')}`;
}

/**
 * The identity in a certificate's alternative names, given as Node.js shows them (`URI:…, URI:…`).
 * Undefined where there is none, or more than one.
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

/** Why a peer that shows `certified` and says it is `claimed` is refused; undefined where it is not. */
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
