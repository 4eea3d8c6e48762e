/** Client for streamed chat completions that measures token times and checks for a complete answer. */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

/** A chat completion call. */
export interface ChatCall {
  /** Base URL of a router. */
  url: string;
  /** API key of the workspace. */
  key: string;
  model: string;
  prompt: string;
  /** Length of the answer; read by the model engine stand-in, ignored by the router. */
  outputTokens: number;
  /** The caller's token limit, which the router uses as a hint of the cost. */
  maxTokens?: number;
  headers?: Record<string, string>;
  signal?: AbortSignal;
  /** Called as each token arrives. */
  onToken?: () => void;
}

/** How a call ended. */
export enum CallOutcome {
  /** The complete answer arrived. */
  Complete = 'whole',
  /** The router answered with an error. */
  Refused = 'refused',
  /** The call failed or the answer broke off before its end, possibly after an error event. */
  Interrupted = 'broken',
}

/** Outcome, answer and timing of a call. */
export interface ChatResult {
  outcome: CallOutcome;
  status: number;
  text: string;
  tokens: number;
  /** Time to the first token, in milliseconds; undefined if none arrived. */
  firstTokenMs: number | undefined;
  /** Longest time between two tokens, in milliseconds. */
  longestGapMs: number;
  /** Duration of the call, in milliseconds. */
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

/** Builds the request body of a call. */
export function buildChatBody(call: ChatCall) {
  return {
    model: call.model,
    messages: [{ role: 'user', content: call.prompt }],
    metadata: { output_tokens: String(call.outputTokens) },
    stream: true,
    ...(call.maxTokens === undefined ? {} : { max_tokens: call.maxTokens }),
  };
}

/** Makes a streamed call and reads the answer to its end. Never rejects. */
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
      reader.recordRefusal((await response.body.json()) as ErrorEvent);
      return reader.buildResult();
    }
    for await (const bytes of response.body as AsyncIterable<Buffer>) reader.feed(bytes);
  } catch {
    return reader.buildResult();
  }
  return reader.buildResult();
}

/** Parses the event stream of one answer and measures its token times. */
class AnswerReader {
  status = 0;
  requestId: string | undefined;
  private readonly startedAt = performance.now();
  private readonly onToken: (() => void) | undefined;
  private readonly decoder = new TextDecoder();
  private readonly parser = createParser({ onEvent: (event) => this.handleEvent(event.data) });
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

  feed(bytes: Buffer): void {
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
  }

  recordRefusal(body: ErrorEvent): void {
    this.outcome = CallOutcome.Refused;
    this.code = body.error?.code;
    this.verdict = body.error?.verdict;
  }

  buildResult(): ChatResult {
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

  private handleEvent(data: string): void {
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
    if (content !== undefined) this.recordToken(content);
  }

  private recordToken(content: string): void {
    const now = performance.now();
    if (this.firstTokenMs === undefined) this.firstTokenMs = now - this.startedAt;
    else this.longestGapMs = Math.max(this.longestGapMs, now - this.lastTokenAt);
    this.lastTokenAt = now;
    this.text += content;
    this.tokens += 1;
    this.onToken?.();
  }
}
