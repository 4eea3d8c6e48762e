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
const EVENT_LIMIT_BYTES = 1024 * 1024;

const END_MARK = '[DONE]';

/** Turns the bytes of an event stream into frames. The bytes may come over several connections. */
export class ChunkStream {
  private readonly listener: RunListener;
  private decoder = new TextDecoder();
  private readonly parser = createParser({ onEvent: (event) => this.accept(event.data) });
  private received = 0;
  private pendingBytes = 0;
  private ended = false;
  private generated = 0;
  private finalCost = 0;

  constructor(listener: RunListener) {
    this.listener = listener;
  }

  /** Events so far, the end mark included. */
  get eventCount(): number {
    return this.received;
  }

  get hasEnded(): boolean {
    return this.ended;
  }

  /** Forgets the part of an event that a connection left unfinished. */
  discardPartialEvent(): void {
    this.decoder = new TextDecoder();
    this.parser.reset();
    this.pendingBytes = 0;
  }

  push(bytes: Buffer): void {
    this.pendingBytes += bytes.length;
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
    if (this.pendingBytes > EVENT_LIMIT_BYTES)
      throw new Error('the engine sent an event over the limit');
  }

  finish(): void {
    if (this.ended) this.listener.onEnd(this.finalCost);
    else this.listener.onFailure(incompleteStream());
  }

  private accept(data: string): void {
    this.pendingBytes = 0;
    this.received += 1;
    if (this.ended) return;
    if (data === END_MARK) {
      this.ended = true;
      return;
    }
    const chunk = parseChunk(data);
    if (chunk.usage != null) {
      this.finalCost = costOfUsage(chunk.usage) - this.generated;
      this.listener.onFrame(Buffer.from(data), 0);
      return;
    }
    this.generated += 1;
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

function costOfUsage(usage: Usage): number {
  return (usage.completion_tokens ?? 0) + (usage.prompt_tokens ?? 0) * PROMPT_TOKEN_COST;
}

function incompleteStream(): RequestError {
  return new RequestError('the engine ended the stream without its end mark', {
    code: ErrorCode.IncompleteAnswer,
    verdict: Verdict.Ran,
  });
}
