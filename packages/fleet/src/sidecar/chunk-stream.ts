/**
 * Parses the event stream (SSE) of one answer. Each chunk becomes one frame. A stream that ends without
 * its end mark, or without a reason to finish for each choice, is reported as a failure, never as a
 * complete answer, and so is one with anything that is no chunk: an error of the engine within the stream
 * ends it, whatever follows.
 */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage, ParseError } from 'eventsource-parser';
import { z } from 'zod';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { RunListener } from './endpoint-client.ts';

/** Cost of a prompt token relative to a generated one. */
export const PROMPT_TOKEN_COST = 0.1;

/** Most bytes of a stream without the end of an event, which bounds the memory of the parser. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Data of the event that ends a stream. */
const END_MARK = '[DONE]';

/** Name of an event by which an engine reports that the stream has failed. */
const ERROR_EVENT = 'error';

/**
 * Events that are read once more after a reconnect, which must be the same. Fewer wouldn't show a gap or a repetition
 * among chunks that are alike.
 */
const OVERLAP_EVENTS = 16;

/** Characters of an unusable event that are quoted in the error. */
const MAX_QUOTED_CHARACTERS = 200;

const chunkSchema = z.object({
  /** The same for all chunks of an answer. */
  id: z.string().optional(),
  choices: z.array(z.object({ index: z.number().optional(), finish_reason: z.string().nullish() })),
  usage: z
    .object({ prompt_tokens: z.number().nullish(), completion_tokens: z.number().nullish() })
    .nullish(),
  error: z.null().optional(),
});

type Chunk = z.output<typeof chunkSchema>;
type Usage = NonNullable<Chunk['usage']>;

/** Turns the bytes of an event stream into frames. The bytes may arrive over several connections. */
export class ChunkStream {
  private readonly listener: RunListener;
  private decoder = new TextDecoder();
  private readonly parser = createParser({
    onEvent: (event) => this.handleEvent(event),
    onError: rejectText,
  });
  private receivedEvents = 0;
  private pendingEventBytes = 0;
  private hasEndMark = false;
  private answerId: string | undefined;
  /** Indexes of the choices that have begun, and of those whose reason to finish has arrived. */
  private readonly begun = new Set<number>();
  private readonly finished = new Set<number>();
  /** Data of the latest events. */
  private readonly latest: string[] = [];
  /** What a new connection must bring before anything new. */
  private overlap: string[] = [];
  private generatedTokens = 0;
  private finalCost = 0;

  constructor(listener: RunListener) {
    this.listener = listener;
  }

  /** Events received so far, including the end mark. */
  get eventCount(): number {
    return this.receivedEvents;
  }

  get hasEnded(): boolean {
    return this.hasEndMark;
  }

  /**
   * Prepares for a new connection: discards the incomplete event that a lost one has left. Returns the index of the
   * event at which the new one must begin, so that it proves that it goes on with this stream.
   */
  startOver(): number {
    this.decoder = new TextDecoder();
    this.parser.reset();
    this.pendingEventBytes = 0;
    this.overlap = [...this.latest];
    return this.receivedEvents - this.overlap.length;
  }

  push(bytes: Buffer): void {
    this.pendingEventBytes += bytes.length;
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
    if (this.pendingEventBytes > MAX_EVENT_BYTES)
      throw new Error('the engine sent an event over the limit');
  }

  /** Reports the end of the answer, or a failure if the end mark has not arrived. */
  finish(): void {
    if (this.hasEndMark) this.listener.onEnd(this.finalCost);
    else this.listener.onFailure(createIncompleteStreamError());
  }

  private handleEvent({ event, data }: EventSourceMessage): void {
    this.pendingEventBytes = 0;
    if (this.hasEndMark || this.isOverlap(data)) return;
    this.recordEvent(data);
    if (data === END_MARK) {
      if (this.finished.size < this.begun.size) throw createUnfinishedAnswerError();
      this.hasEndMark = true;
      return;
    }
    if (event === ERROR_EVENT) throw createUnusableEventError(data);
    const chunk = parseChunk(data);
    this.answerId ??= chunk.id;
    if (chunk.id !== undefined && chunk.id !== this.answerId)
      throw new Error(`the engine sent a chunk of the answer ${chunk.id} within ${this.answerId}`);
    this.recordChoices(chunk);
    if (chunk.usage != null) {
      this.finalCost = computeCost(chunk.usage) - this.generatedTokens;
      this.listener.onFrame(Buffer.from(data), 0);
      return;
    }
    this.generatedTokens += 1;
    this.listener.onFrame(Buffer.from(data), 1);
  }

  private recordChoices({ choices }: Chunk): void {
    for (const { index = 0, finish_reason: reason } of choices) {
      this.begun.add(index);
      if (reason != null) this.finished.add(index);
    }
  }

  /** Whether an event was received before; it must be the one that follows then. */
  private isOverlap(data: string): boolean {
    const expected = this.overlap.shift();
    if (expected === undefined) return false;
    if (data !== expected) throw createDiscontinuityError();
    return true;
  }

  private recordEvent(data: string): void {
    this.receivedEvents += 1;
    this.latest.push(data);
    if (this.latest.length > OVERLAP_EVENTS) this.latest.shift();
  }
}

function parseChunk(data: string): Chunk {
  const result = chunkSchema.safeParse(JSON.parse(data));
  if (!result.success) throw createUnusableEventError(data);
  return result.data;
}

/** Text that is no event, such as that of an error, would be passed over by the parser. */
function rejectText(error: ParseError): void {
  if (error.type === 'unknown-field') throw createUnusableEventError(error.line ?? '');
}

function createUnusableEventError(text: string): Error {
  const quoted = text.slice(0, MAX_QUOTED_CHARACTERS);
  return new Error(`the engine sent something other than a chunk within the stream: ${quoted}`);
}

function computeCost(usage: Usage): number {
  return (usage.completion_tokens ?? 0) + (usage.prompt_tokens ?? 0) * PROMPT_TOKEN_COST;
}

function createIncompleteStreamError(): RequestError {
  return new RequestError('the engine ended the stream without its end mark', {
    code: ErrorCode.IncompleteAnswer,
    verdict: Verdict.Ran,
  });
}

function createUnfinishedAnswerError(): RequestError {
  return new RequestError('the engine ended the stream before the answer was finished', {
    code: ErrorCode.IncompleteAnswer,
    verdict: Verdict.Ran,
  });
}

function createDiscontinuityError(): RequestError {
  return new RequestError('the engine goes on with another event than the one that follows', {
    code: ErrorCode.IncompleteAnswer,
    verdict: Verdict.Ran,
  });
}
