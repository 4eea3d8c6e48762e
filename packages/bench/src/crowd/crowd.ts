/**
 * Crowds: clients that send what a server must hold, and don't go on. A crowd says what each of its clients writes
 * and whether it reads; a `CrowdPlayer` plays it against one address.
 */

/** What the clients of a crowd do. */
export interface Crowd {
  /** Number of clients, each with a connection of its own. */
  connections: number;
  /** The bytes that one client writes, in parts; the client writes on as fast as they are taken. */
  write: () => Iterable<Buffer>;
  /** Pause after each part, in ms; none by default. */
  pauseMs?: number;
  /** Whether the clients read what they are sent; by default they read nothing. */
  reads?: boolean;
}

const LINE_END = '\r\n';
const MIB = 1_048_576;

/** Head of a request. */
export interface CrowdHead {
  method?: string;
  target: string;
  headers?: Record<string, string>;
}

/** Builds the head of a request. */
export function buildHead({ method = 'POST', target, headers = {} }: CrowdHead): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return [`${method} ${target} HTTP/1.1`, ...lines, '', ''].join(LINE_END);
}

/** A body in chunks that stops just short of its end: neither its last bytes nor its last chunk come. */
export function* openChunkedBody(
  head: CrowdHead,
  { bodyBytes, chunkBytes }: { bodyBytes: number; chunkBytes: number },
): Generator<Buffer> {
  const headers = { ...head.headers, 'Transfer-Encoding': 'chunked' };
  yield Buffer.from(buildHead({ ...head, headers }));
  const chunk = `${chunkBytes.toString(16)}${LINE_END}${'a'.repeat(chunkBytes)}${LINE_END}`;
  const chunks = Math.floor(bodyBytes / chunkBytes);
  yield* repeat(chunk, chunks);
}

/** A body with a declared length of which the last byte doesn't come. */
export function* openDeclaredBody(head: CrowdHead, bodyBytes: number): Generator<Buffer> {
  const headers = { ...head.headers, 'Content-Length': String(bodyBytes) };
  yield Buffer.from(buildHead({ ...head, headers }));
  yield* repeat('a', bodyBytes - 1);
}

/** A whole request with a body. */
export function* wholeRequest(head: CrowdHead, bodyBytes: number): Generator<Buffer> {
  yield* openDeclaredBody(head, bodyBytes);
  yield Buffer.from('a');
}

/** A head that doesn't end. */
export function* openHead(head: CrowdHead, headBytes: number): Generator<Buffer> {
  const text = buildHead(head);
  yield Buffer.from(text.slice(0, -LINE_END.length));
  yield* repeat('X-Long: aaaaaaaaaaaaaaaaaaaa\r\n', Math.floor(headBytes / 30));
}

/** One request without a body. */
export function* oneRequest(head: CrowdHead): Generator<Buffer> {
  yield Buffer.from(buildHead(head));
}

/** Requests sent ahead, one behind the other, until `totalBytes` are written. */
export function* requestsAhead(head: CrowdHead, totalBytes: number): Generator<Buffer> {
  const text = buildHead(head);
  yield* repeat(text, Math.floor(totalBytes / text.length));
}

/** Writes `text` so many times, in parts of up to a mebibyte that share their memory. */
function* repeat(text: string, times: number): Generator<Buffer> {
  const perPart = Math.max(1, Math.min(times, Math.floor(MIB / text.length)));
  const part = Buffer.from(text.repeat(perPart));
  let left = times;
  for (; left >= perPart; left -= perPart) yield part;
  if (left > 0) yield part.subarray(0, left * text.length);
}
