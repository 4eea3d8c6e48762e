/**
 * Client of the platform's configuration service, with a read and a long-polling watch for a newer
 * revision. The published protocol is `GET /v1/value` and `GET /v1/watch?after=N&wait_ms=M`. Both return
 * `{ "revision": number, "document": string }`, or status 204 if there is no newer revision.
 */
import { request } from 'undici';
import { z } from 'zod';
import type { ConfigurationDocument } from '../messages.ts';
import { LARGE_ANSWER_BYTES, readBoundedText } from '../bounded-body.ts';

const REQUEST_TIMEOUT_MS = 3_000;

/** Time for which the service holds a watch open before it returns 204. */
export const WATCH_WAIT_MS = 10_000;

/** Maximum size of a response: the largest document that the service stores, and its JSON envelope. */
const MAX_VALUE_BYTES = 2 * 1024 * 1024;

const valueSchema = z.object({ revision: z.int().positive(), document: z.string() });

/** Thrown when the service does not return a usable response. */
export class ConfigurationServiceError extends Error {
  constructor(message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'ConfigurationServiceError';
  }
}

/** Reads and watches the configuration service. */
export class ConfigurationClient {
  private readonly baseUrl: string;

  constructor(baseUrl: string) {
    this.baseUrl = baseUrl.replace(/\/$/, '');
  }

  /** Reads the current document. Throws `ConfigurationServiceError`. */
  async read(): Promise<ConfigurationDocument> {
    const document = await this.get('/v1/value', REQUEST_TIMEOUT_MS);
    if (document === undefined) throw new ConfigurationServiceError('no value is published');
    return document;
  }

  /** Waits for a document newer than `afterRevision`; undefined if none was published in time. */
  async watch(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<ConfigurationDocument | undefined> {
    const path = `/v1/watch?after=${afterRevision}&wait_ms=${WATCH_WAIT_MS}`;
    return this.get(path, WATCH_WAIT_MS + REQUEST_TIMEOUT_MS, signal);
  }

  /**
   * Reads the document if it is newer than `afterRevision`, without waiting; otherwise undefined.
   * Throws `ConfigurationServiceError`.
   */
  async readNewer(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<ConfigurationDocument | undefined> {
    return this.get(`/v1/watch?after=${afterRevision}&wait_ms=0`, REQUEST_TIMEOUT_MS, signal);
  }

  private async get(
    path: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<ConfigurationDocument | undefined> {
    const response = await request(this.baseUrl + path, {
      headersTimeout: timeoutMs,
      bodyTimeout: REQUEST_TIMEOUT_MS,
      ...(signal === undefined ? {} : { signal }),
    });
    const text = await readBoundedText(response.body, LARGE_ANSWER_BYTES);
    if (response.statusCode === 204) return undefined;
    if (response.statusCode !== 200)
      throw new ConfigurationServiceError(`status ${response.statusCode}`);
    if (text.length > MAX_VALUE_BYTES) throw new ConfigurationServiceError('value is too large');
    return parseValue(text);
  }
}

function parseValue(text: string): ConfigurationDocument {
  try {
    const parsed = valueSchema.parse(JSON.parse(text));
    return { revision: parsed.revision, text: parsed.document };
  } catch (error) {
    throw new ConfigurationServiceError('response does not match the published format', error);
  }
}
