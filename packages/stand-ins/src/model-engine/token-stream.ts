/** One generation of the stand-in: its tokens so far and whoever reads them. */
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

/** A generation that can be read, left and read again from any token. */
export class TokenStream implements Sequence {
  readonly id: string;
  readonly request: EngineRequest;
  prefillTokens: number;
  /** Whether it has left the batch until it is resumed. */
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

  /** Sends the chunks from `from` on, and all that follow, to a reader. */
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
    this.emit(this.contentChunk(position));
    if (this.chunks.length < this.length) return true;
    this.finish();
    return false;
  }

  /** Ends the stream without its end mark. */
  cut(): void {
    this.ended = true;
    this.reader?.destroy();
  }

  private finish(): void {
    const delta = { index: 0, delta: {}, finish_reason: finishReason(this.request) };
    this.emit({ ...this.envelope(), choices: [delta] });
    this.emit({ ...this.envelope(), choices: [], usage: this.usage() });
    this.write('data: [DONE]\n\n');
    this.ended = true;
    this.reader?.end();
  }

  private contentChunk(position: number): object {
    const role = position === 0 ? { role: 'assistant' } : {};
    const delta = { ...role, content: tokenAt(this.request, position) };
    return { ...this.envelope(), choices: [{ index: 0, delta, finish_reason: null }] };
  }

  private envelope(): object {
    const { id, created } = this;
    return {
      id: `chatcmpl-${id}`,
      object: 'chat.completion.chunk',
      created,
      model: this.request.model,
    };
  }

  private usage(): object {
    const prompt = countTokens(promptText(this.request));
    return {
      prompt_tokens: prompt,
      completion_tokens: this.length,
      total_tokens: prompt + this.length,
    };
  }

  private emit(chunk: object): void {
    this.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }

  private write(text: string): void {
    this.chunks.push(text);
    this.reader?.write(text);
  }
}
