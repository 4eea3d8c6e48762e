/**
 * Parses the event stream (SSE) of one answer. Each chunk becomes one frame. A stream that ends without
 * its end mark is reported as a failure, never as a complete answer.
 */
import { createParser } from 'eventsource-parser';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { RunListener } from './endpoint-client.ts';

/** Cost of a prompt token relative to a generated one. */
export const PROMPT_TOKEN_COST = 0.1;

/** Most bytes of a stream without the end of an event, which bounds the memory of the parser. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Data of the event that ends a stream. */
const END_MARK = '[DONE]';

/** Turns the bytes of an event stream into frames. The bytes may arrive over several connections. */
export class ChunkStream {
  private readonly listener: RunListener;
  private decoder = new TextDecoder();
  private readonly parser = createParser({ onEvent: (event) => this.handleEvent(event.data) });
  private receivedEvents = 0;
  private pendingEventBytes = 0;
  private hasEndMark = false;
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

  /** Discards the incomplete event that a lost connection has left. */
  discardPartialEvent(): void {
    this.decoder = new TextDecoder();
    this.parser.reset();
    this.pendingEventBytes = 0;
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

  private handleEvent(data: string): void {
    this.pendingEventBytes = 0;
    this.receivedEvents += 1;
    if (this.hasEndMark) return;
    if (data === END_MARK) {
      this.hasEndMark = true;
      return;
    }
    const chunk = parseChunk(data);
    if (chunk.usage != null) {
      this.finalCost = computeCost(chunk.usage) - this.generatedTokens;
      this.listener.onFrame(Buffer.from(data), 0);
      return;
    }
    this.generatedTokens += 1;
    this.listener.onFrame(Buffer.from(data), 1);
  }
}

interface Usage {
  prompt_tokens?: number;
  completion_tokens?: number;
}

function parseChunk(data: string): { usage?: Usage | null } {
  const chunk = JSON.parse(data) as { usage?: Usage | null } | null;
  if (chunk === null || typeof chunk !== 'object')
    throw new Error('the engine sent a chunk that is not an object');
  return chunk;
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
