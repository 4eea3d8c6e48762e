/** A caller of chat completions that notes when each token came and whether the answer was whole. */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

/** What a caller sends. */
export interface ChatCall {
  /** Base URL of a router. */
  url: string;
  key: string;
  model: string;
  prompt: string;
  /** Length of the answer, which the model engine stand-in reads; the router does not. */
  outputTokens: number;
  /** The caller's own limit, which the router takes as a hint of the cost. */
  maxTokens?: number;
  headers?: Record<string, string>;
  signal?: AbortSignal;
  /** Called as each token arrives. */
  onToken?: () => void;
}

/** How an exchange ended. */
export enum CallOutcome {
  /** The whole answer came. */
  Complete = 'whole',
  /** The router refused or failed the request, and said so. */
  Refused = 'refused',
  /** The answer broke off. */
  Interrupted = 'broken',
}

/** What a caller got. */
export interface ChatResult {
  outcome: CallOutcome;
  status: number;
  text: string;
  tokens: number;
  /** Time to the first token, in milliseconds; undefined where none came. */
  firstTokenMs: number | undefined;
  /** Longest time between two tokens, in milliseconds. */
  longestGapMs: number;
  totalMs: number;
  requestId: string | undefined;
  /** Code and verdict of a refusal or failure. */
  code: string | undefined;
  verdict: string | undefined;
}

interface ErrorEvent {
  error?: { code?: string; verdict?: string };
}

interface ChunkEvent extends ErrorEvent {
  choices?: { delta?: { content?: string } }[];
}

const agent = new Agent({ connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

/** Body of the chat request of a call. */
export function buildChatBody(call: ChatCall) {
  return {
    model: call.model,
    messages: [{ role: 'user', content: call.prompt }],
    metadata: { output_tokens: String(call.outputTokens) },
    stream: true,
    ...(call.maxTokens === undefined ? {} : { max_tokens: call.maxTokens }),
  };
}

/** Makes a streamed call and follows it to its end. Never rejects. */
export async function callChat(call: ChatCall): Promise<ChatResult> {
  const reader = new AnswerReader(call.onToken);
  try {
    const response = await request(`${call.url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${call.key}`,
        'content-type': 'application/json',
        ...call.headers,
      },
      body: JSON.stringify(buildChatBody(call)),
      dispatcher: agent,
      ...(call.signal === undefined ? {} : { signal: call.signal }),
    });
    reader.status = response.statusCode;
    reader.requestId = String(response.headers['x-request-id'] ?? '');
    if (response.statusCode !== 200) {
      reader.refuse((await response.body.json()) as ErrorEvent);
      return reader.result();
    }
    for await (const bytes of response.body as AsyncIterable<Buffer>) reader.push(bytes);
  } catch {
    return reader.result();
  }
  return reader.result();
}

/** Reads one answer. */
class AnswerReader {
  status = 0;
  requestId: string | undefined;
  private readonly startedAt = performance.now();
  private readonly onToken: (() => void) | undefined;
  private readonly decoder = new TextDecoder();
  private readonly parser = createParser({ onEvent: (event) => this.accept(event.data) });
  private outcome = CallOutcome.Interrupted;
  private text = '';
  private tokens = 0;
  private firstTokenMs: number | undefined;
  private lastTokenAt = 0;
  private longestGapMs = 0;
  private code: string | undefined;
  private verdict: string | undefined;

  constructor(onToken: (() => void) | undefined) {
    this.onToken = onToken;
  }

  push(bytes: Buffer): void {
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
  }

  refuse(body: ErrorEvent): void {
    this.outcome = CallOutcome.Refused;
    this.code = body.error?.code;
    this.verdict = body.error?.verdict;
  }

  result(): ChatResult {
    const { outcome, status, text, tokens, firstTokenMs, longestGapMs, requestId, code, verdict } =
      this;
    const totalMs = performance.now() - this.startedAt;
    return {
      outcome,
      status,
      text,
      tokens,
      firstTokenMs,
      longestGapMs,
      totalMs,
      requestId,
      code,
      verdict,
    };
  }

  private accept(data: string): void {
    if (data === '[DONE]') {
      this.outcome = CallOutcome.Complete;
      return;
    }
    const event = JSON.parse(data) as ChunkEvent;
    if (event.error !== undefined) {
      this.code = event.error.code;
      this.verdict = event.error.verdict;
      return;
    }
    const content = event.choices?.[0]?.delta?.content;
    if (content !== undefined) this.countToken(content);
  }

  private countToken(content: string): void {
    const now = performance.now();
    if (this.firstTokenMs === undefined) this.firstTokenMs = now - this.startedAt;
    else this.longestGapMs = Math.max(this.longestGapMs, now - this.lastTokenAt);
    this.lastTokenAt = now;
    this.text += content;
    this.tokens += 1;
    this.onToken?.();
  }
}
