/** Tells where the body of an HTTP response ends, from its head (RFC 9112, section 6.3). */

const BODILESS_METHOD = 'HEAD';
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The headers that frame a body, with repeated ones joined by commas. */
export interface FramingHeaders {
  contentLength: string | undefined;
  transferEncoding: string | undefined;
}

/** Whether a response may have a body, whatever its headers say. */
export function mayHaveBody(method: string, status: number): boolean {
  return method !== BODILESS_METHOD && !BODILESS_STATUSES.has(status);
}

/** Whether a length or chunks tell where a body ends. After another last coding it ends with its connection. */
export function isFramed({ contentLength, transferEncoding }: FramingHeaders): boolean {
  if (transferEncoding === undefined) return contentLength !== undefined;
  return transferEncoding.split(',').at(-1)?.trim().toLowerCase() === 'chunked';
}
