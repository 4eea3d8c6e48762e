/**
 * Datagrams about the origins of streams, in MessagePack. Each is an array, by which it differs from a report. Anyone
 * on the network can send a datagram, and it may have been corrupted, so it is checked.
 */
import { Packr } from 'msgpackr';
import { z } from 'zod';
import { endpointNameSchema } from '@poplarpick/decisions';
import type { StreamKey, StreamOrigin } from '@poplarpick/decisions';

/** Kind of a message, its first element. */
export enum OriginMessageKind {
  /** The sender has begun streams and names their origin. */
  Record = 1,
  /** The sender asks for the origin of a stream. */
  Query = 2,
  /** The answer to a query. */
  Answer = 3,
}

/** Streams of one origin that the sender has begun. */
export interface OriginRecord {
  kind: OriginMessageKind.Record;
  origin: StreamOrigin;
  /** Time for which the origin matters, in ms. */
  keepMs: number;
  /** One or two keys of each stream. */
  keys: readonly StreamKey[];
}

/** A question for the origin of a stream. */
export interface OriginQuery {
  kind: OriginMessageKind.Query;
  key: StreamKey;
}

/** The answer to a question; the origin is undefined if the sender doesn't remember it. */
export interface OriginAnswer {
  kind: OriginMessageKind.Answer;
  key: StreamKey;
  origin: StreamOrigin | undefined;
}

export type OriginMessage = OriginRecord | OriginQuery | OriginAnswer;

/** Most keys in one record, so that it fits into a datagram. */
export const MAX_KEYS_PER_RECORD = 500;

/** Longest time for which an origin may be kept, in ms. */
const MAX_KEEP_MS = 3_600_000;

/** First bytes of MessagePack arrays of up to 15 elements. */
const ARRAY_PREFIX = { first: 0x90, last: 0x9f };

const packr = new Packr({ useRecords: false });

const keySchema = z.int().nonnegative();
const messageSchema = z.union([
  z.tuple([
    z.literal(OriginMessageKind.Record),
    endpointNameSchema,
    endpointNameSchema,
    z.int().nonnegative().max(MAX_KEEP_MS),
    z.array(keySchema).max(MAX_KEYS_PER_RECORD),
  ]),
  z.tuple([z.literal(OriginMessageKind.Query), keySchema]),
  z.tuple([z.literal(OriginMessageKind.Answer), keySchema]),
  z.tuple([z.literal(OriginMessageKind.Answer), keySchema, endpointNameSchema, endpointNameSchema]),
]);

/** Whether a datagram is a message about origins. */
export function isOriginMessage(datagram: Buffer): boolean {
  const [first = 0] = datagram;
  return first >= ARRAY_PREFIX.first && first <= ARRAY_PREFIX.last;
}

/** Encodes a message. */
export function encodeOriginMessage(message: OriginMessage): Buffer {
  return packr.pack(toArray(message));
}

/** Decodes a datagram. Throws when it is no valid message. */
export function decodeOriginMessage(datagram: Buffer): OriginMessage {
  const decoded = messageSchema.parse(packr.unpack(datagram));
  switch (decoded[0]) {
    case OriginMessageKind.Record: {
      const [kind, pool, version, keepMs, keys] = decoded;
      return { kind, origin: { pool, version }, keepMs, keys };
    }
    case OriginMessageKind.Query:
      return { kind: decoded[0], key: decoded[1] };
    case OriginMessageKind.Answer: {
      const [kind, key, pool, version] = decoded;
      const isKnown = pool !== undefined && version !== undefined;
      return { kind, key, origin: isKnown ? { pool, version } : undefined };
    }
  }
}

function toArray(message: OriginMessage): unknown[] {
  switch (message.kind) {
    case OriginMessageKind.Record: {
      const { kind, origin, keepMs, keys } = message;
      return [kind, origin.pool, origin.version, keepMs, keys];
    }
    case OriginMessageKind.Query:
      return [message.kind, message.key];
    case OriginMessageKind.Answer: {
      const { kind, key, origin } = message;
      return origin === undefined ? [kind, key] : [kind, key, origin.pool, origin.version];
    }
  }
}
