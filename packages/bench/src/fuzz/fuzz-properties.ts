/** Property tests: the frame decoder and the callers' interface accept or reject any input. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import fc from 'fast-check';
import { RequestError, Verdict } from '@poplarpick/kernel';
import { parseApplicationTarget } from '@poplarpick/fleet/callers/application-call';
import { parseChatRequest } from '@poplarpick/fleet/callers/chat-completions';
import { readDeadlineMs, readIdempotencyKey } from '@poplarpick/fleet/callers/request-headers';
import { FrameDecoder, FrameEncoder, FrameError } from '@poplarpick/fleet/link/frame-codec';

/** Number of cases to run and the seed of their generator. */
export interface FuzzOptions {
  cases: number;
  seed: number;
}

const MAX_FRAME_BYTES = 32;
const LENGTH_PREFIX_BYTES = 4;
const ANSWER_TIMEOUT_MS = 10_000;

/**
 * Values survive encoding and decoding wherever the stream is split, except that the field `__proto__`
 * is renamed so that it can't set a prototype.
 */
export function checkFrameRoundTrip({ cases, seed }: FuzzOptions): void {
  const values = fc.array(fc.jsonValue({ noUnicodeString: false }), { maxLength: 4 });
  const property = fc.property(
    values,
    fc.array(fc.nat(2_000), { maxLength: 6 }),
    (sent, places) => {
      const encoder = new FrameEncoder();
      const decoder = new FrameDecoder();
      const stream = Buffer.concat(sent.map((value) => encoder.encode(value)));
      const received = splitStream(stream, places)
        .flatMap((part) => decoder.push(part))
        .map(({ value }) => value);
      assert.equal(
        JSON.stringify(received),
        JSON.stringify(sent).replaceAll('"__proto__":', '"__proto_":'),
      );
    },
  );
  fc.assert(property, { seed, numRuns: cases });
}

/** Arbitrary bytes decode to values or throw `FrameError`, and the decoder buffers no more than its limit. */
export function checkFrameDecoderLimit({ cases, seed }: FuzzOptions): void {
  const chunks = fc.array(fc.uint8Array({ maxLength: 48 }), { maxLength: 8 });
  const property = fc.property(chunks, fc.boolean(), (parts, isFramed) => {
    const decoder = new FrameDecoder({ maxFrameBytes: MAX_FRAME_BYTES });
    try {
      for (const part of parts) decoder.push(isFramed ? encodeFrame(part) : Buffer.from(part));
    } catch (error) {
      assert(error instanceof FrameError, String(error));
      return;
    }
    assert(decoder.bufferedBytes < MAX_FRAME_BYTES + LENGTH_PREFIX_BYTES);
  });
  fc.assert(property, { seed, numRuns: cases });
}

/** Arbitrary bodies, targets and headers are parsed or rejected with a `RequestError` as not run. */
export function checkCallerParsers({ cases, seed }: FuzzOptions): void {
  const text = fc.oneof(fc.string({ unit: 'binary' }), fc.json());
  const property = fc.property(text, fc.string(), fc.string(), (body, target, header) => {
    assertOnlyRefuses(() => parseChatRequest(Buffer.from(body)));
    assertOnlyRefuses(() => parseApplicationTarget(target));
    assertOnlyRefuses(() => parseApplicationTarget(`/apps/${target}`));
    assertOnlyRefuses(() => readDeadlineMs({ 'x-request-timeout-ms': header }, 1));
    assertOnlyRefuses(() => readIdempotencyKey({ 'idempotency-key': header }));
  });
  fc.assert(property, { seed, numRuns: cases });
}

/**
 * Arbitrary bytes on a caller's connection get an HTTP response other than 500 or close the connection,
 * within a timeout.
 */
export async function checkRawCallerBytes(
  address: string,
  { cases, seed }: FuzzOptions,
): Promise<void> {
  const property = fc.asyncProperty(arbitraryRawRequest(), async (bytes) => {
    const answer = await exchangeBytes(address, Buffer.from(bytes, 'latin1'));
    assert(answer === '' || /^HTTP\/1\.1 [1-5]\d\d /.test(answer), answer.slice(0, 80));
    assert(!answer.startsWith('HTTP/1.1 500'), answer);
  });
  await fc.assert(property, { seed, numRuns: cases });
}

/** Generates malformed requests, including request smuggling through conflicting body lengths. */
function arbitraryRawRequest(): fc.Arbitrary<string> {
  const method = fc.constantFrom('GET', 'POST', 'PRI', 'get', 'CONNECT', '\u0000');
  const path = fc.oneof(
    fc.constantFrom('/v1/chat/completions', '/v1/models', '/apps/bookings/x', '*', 'http://x/'),
    fc.string({ maxLength: 20 }),
  );
  const header = fc.oneof(
    fc.constantFrom(
      'content-length: 5',
      'content-length: -1',
      'content-length: 5\r\ncontent-length: 6',
      'transfer-encoding: chunked',
      'transfer-encoding: chunked\r\ncontent-length: 3',
      'transfer-encoding: xchunked',
      'authorization: Bearer key-of-workspace-1',
      'expect: 100-continue',
      'upgrade: h2c\r\nconnection: upgrade',
      ' folded: header',
      'x: \u0001',
    ),
    fc.string({ maxLength: 30 }),
  );
  const body = fc.oneof(
    fc.constantFrom('', '0\r\n\r\n', 'ffffffffff\r\n', '{}', '{"model":'),
    fc.string(),
  );
  return fc
    .tuple(method, path, fc.array(header, { maxLength: 5 }), body)
    .map(([verb, target, headers, rest]) =>
      [`${verb} ${target} HTTP/1.1`, 'host: router', ...headers, '', rest].join('\r\n'),
    );
}

async function exchangeBytes(address: string, bytes: Buffer): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) });
    const parts: Buffer[] = [];
    socket.setTimeout(ANSWER_TIMEOUT_MS, () => {
      socket.destroy();
      reject(new Error('the connection was neither answered nor closed'));
    });
    socket.on('data', (part: Buffer) => parts.push(part));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(parts).toString('latin1')));
    // Half-closing the socket tells the router that no more bytes follow.
    socket.end(bytes);
  });
}

/** Asserts that `read` returns or throws a `RequestError` with the verdict `NotRun`. */
function assertOnlyRefuses(read: () => unknown): void {
  try {
    read();
  } catch (error) {
    assert(error instanceof RequestError, String(error));
    assert.equal(error.verdict, Verdict.NotRun);
  }
}

function encodeFrame(body: Uint8Array): Buffer {
  const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

function splitStream(bytes: Buffer, places: readonly number[]): Buffer[] {
  const ends = [...new Set(places.map((place) => place % (bytes.length + 1)))];
  const starts = [0, ...ends.sort((a, b) => a - b)];
  return starts.map((start, index) => bytes.subarray(start, starts[index + 1] ?? bytes.length));
}
