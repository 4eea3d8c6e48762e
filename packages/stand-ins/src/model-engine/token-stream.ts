/** One generation of the model engine stand-in: the events so far and the reader they are sent to. */
import type { ServerResponse } from 'node:http';
import {
  countTokens,
  finishReason,
  outputLength,
  promptText,
  tokenAt,
} from './generated-answer.ts';
import type { EngineRequest } from './generated-answer.ts';
import type { Sequence } from './batch.ts';

/** A generation whose event stream a reader can leave and resume from any event. */
export class TokenStream implements Sequence {
  readonly id: string;
  readonly request: EngineRequest;
  prefillTokens: number;
  /** Whether the stream is out of the batch until it is resumed. */
  suspended = false;
  private readonly chunks: string[] = [];
  private readonly length: number;
  private readonly created = Math.floor(Date.now() / 1_000);
  private reader: ServerResponse | undefined;
  private ended = false;

  constructor(id: string, request: EngineRequest, prefillTokens: number) {
    this.id = id;
    this.request = request;
    this.prefillTokens = prefillTokens;
    this.length = outputLength(request);
  }

  get isEnded(): boolean {
    return this.ended;
  }

  get hasReader(): boolean {
    return this.reader !== undefined;
  }

  /** Replaces the reader; it gets the chunks from index `from` on and all later ones. */
  attach(reader: ServerResponse, from: number): void {
    this.reader?.destroy();
    this.reader = reader;
    reader.writeHead(200, { 'content-type': 'text/event-stream' });
    reader.on('close', () => {
      if (this.reader === reader) this.reader = undefined;
    });
    for (const chunk of this.chunks.slice(from)) reader.write(chunk);
    if (this.ended) reader.end();
  }

  advance(): boolean {
    const position = this.chunks.length;
    this.sendEvent(this.buildContentChunk(position));
    if (this.chunks.length < this.length) return true;
    this.finish();
    return false;
  }

  /** Ends the stream without `[DONE]` and closes the reader's connection. */
  abort(): void {
    this.ended = true;
    this.reader?.destroy();
  }

  private finish(): void {
    const choice = { index: 0, delta: {}, finish_reason: finishReason(this.request) };
    this.sendEvent({ ...this.buildEnvelope(), choices: [choice] });
    this.sendEvent({ ...this.buildEnvelope(), choices: [], usage: this.buildUsage() });
    this.storeAndSend('data: [DONE]\n\n');
    this.ended = true;
    this.reader?.end();
  }

  private buildContentChunk(position: number): object {
    const role = position === 0 ? { role: 'assistant' } : {};
    const delta = { ...role, content: tokenAt(this.request, position) };
    return { ...this.buildEnvelope(), choices: [{ index: 0, delta, finish_reason: null }] };
  }

  private buildEnvelope(): object {
    const { id, created } = this;
    return {
      id: `chatcmpl-${id}`,
      object: 'chat.completion.chunk',
      created,
      model: this.request.model,
    };
  }

  private buildUsage(): object {
    const prompt = countTokens(promptText(this.request));
    return {
      prompt_tokens: prompt,
      completion_tokens: this.length,
      total_tokens: prompt + this.length,
    };
  }

  private sendEvent(chunk: object): void {
    this.storeAndSend(`data: ${JSON.stringify(chunk)}\n\n`);
  }

  private storeAndSend(text: string): void {
    this.chunks.push(text);
    this.reader?.write(text);
  }
}
