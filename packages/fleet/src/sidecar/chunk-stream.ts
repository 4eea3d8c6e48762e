/**
 * The event stream of one answer. Each chunk is one frame. A stream that ends without its end mark is
 * a failure, never a whole answer.
 */
import { createParser } from 'eventsource-parser';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { RunListener } from './endpoint-client.ts';

/** Cost of a prompt token relative to one that is generated. */
export const PROMPT_TOKEN_COST = 0.1;

/** Largest part of a stream that may hold no end of an event. */
const MAX_EVENT_BYTES = 1024 * 1024;

const END_MARK = '[DONE]';

/** Turns the bytes of an event stream into frames. The bytes may come over several connections. */
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

  /** Events so far, the end mark included. */
  get eventCount(): number {
    return this.receivedEvents;
  }

  get hasEnded(): boolean {
    return this.hasEndMark;
  }

  /** Forgets the part of an event that a connection left unfinished. */
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
    throw new Error('the engine sent a chunk that is no object');
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
