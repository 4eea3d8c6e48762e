/**
 * Stand-in of a model engine, by the protocol that the fleet knows: OpenAI-compatible streaming,
 * streams that can be suspended (`POST /v1/streams/<id>/suspend`), resumed (`GET /v1/streams/<id>?from=N`)
 * and cancelled (`DELETE`), a load report that lags (`GET /v1/load`), cache events that are late and have gaps (`GET /v1/cache/events`), and
 * orders with fencing numbers (`POST /v1/orders`, `GET /v1/state`).
 */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { sendJson } from '@poplarpick/fleet';
import type { GatewayRequest } from '@poplarpick/fleet';
import { readQuery, readText, StandIn } from '../stand-in.ts';
import type { StandInRoute } from '../stand-in.ts';
import { Batch } from './batch.ts';
import type { BatchPace } from './batch.ts';
import { countTokens, promptText } from './generated-answer.ts';
import type { EngineRequest } from './generated-answer.ts';
import { OrderExecutor, OrderResult } from './order-executor.ts';
import type { EngineState, Order } from './order-executor.ts';
import { BLOCK_CHARACTERS, prefixBlocks, PrefixCache } from './prefix-cache.ts';
import type { CacheEvent } from './prefix-cache.ts';
import { TokenStream } from './token-stream.ts';

export { expectedAnswer } from './generated-answer.ts';
export type { EngineRequest } from './generated-answer.ts';
export { OrderAction, OrderResult } from './order-executor.ts';
export type { EngineState, Order } from './order-executor.ts';
export { CacheChange, prefixBlocks } from './prefix-cache.ts';
export type { CacheEvent } from './prefix-cache.ts';

/** Options of a `ModelEngine`. */
export interface ModelEngineOptions {
  models: string[];
  pace?: Partial<BatchPace>;
  /** Blocks that the prefix cache holds. */
  cacheBlocks?: number;
  /** Time by which load reports and cache events lag. */
  lagMs?: number;
  /** Of every so many cache events one is lost; 0 for none. */
  cacheEventLossInterval?: number;
  /** Whether orders with an old fencing number are refused. */
  checksFencing?: boolean;
  /** Time of a load, besides fetching the weights. */
  loadMs?: number;
  weightStore?: string;
  /** Time for which a stream without a reader goes on. */
  orphanTimeoutMs?: number;
}

/** Load as the engine reports it. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** Time of a step, which is the time between two tokens of a sequence. */
  stepMs: number;
}

const DEFAULT_PACE: BatchPace = {
  baseStepMs: 10,
  perSequenceMs: 1,
  prefillTokensPerStep: 512,
  batchLimit: 64,
};
const DEFAULT_CACHE_BLOCKS = 4_096;
const DEFAULT_LAG_MS = 200;
const DEFAULT_LOAD_MS = 100;
const DEFAULT_ORPHAN_MS = 10_000;
const KEPT_EVENTS = 10_000;
const ENDED_STREAM_KEEP_MS = 30_000;

/** Generates answers by continuous batching. */
export class ModelEngine extends StandIn {
  private readonly options: ModelEngineOptions;
  private readonly batch: Batch;
  private readonly cache: PrefixCache;
  private readonly desk: OrderExecutor;
  private readonly streams = new Map<string, TokenStream>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private events: CacheEvent[] = [];
  private sequence = 0;
  private reported: LoadReport = { running: 0, waiting: 0, stepMs: 0 };
  private sampler: NodeJS.Timeout | undefined;
  private started = 0;
  private readonly requests = new Set<string>();

  constructor(options: ModelEngineOptions) {
    super('model-engine');
    this.options = options;
    this.batch = new Batch({ ...DEFAULT_PACE, ...options.pace });
    this.cache = new PrefixCache(options.cacheBlocks ?? DEFAULT_CACHE_BLOCKS, (change, block) =>
      this.publishEvent({ sequence: ++this.sequence, change, block }),
    );
    this.desk = new OrderExecutor({
      models: options.models,
      checksFencing: options.checksFencing ?? true,
      loadMs: options.loadMs ?? DEFAULT_LOAD_MS,
      weightStore: options.weightStore,
    });
  }

  /** Generations that were started. */
  get runs(): number {
    return this.started;
  }

  /** Whether a generation with this request id was started. */
  hasRun(requestId: string): boolean {
    return this.requests.has(requestId);
  }

  /** Sequences that run now. */
  get running(): number {
    return this.batch.runningCount;
  }

  get state(): EngineState {
    return this.desk.state;
  }

  override async start(address?: string): Promise<this> {
    this.sampler = setInterval(() => this.sampleLoad(), 100);
    return super.start(address);
  }

  override async stop(): Promise<void> {
    clearInterval(this.sampler);
    this.timers.forEach((timer) => clearTimeout(timer));
    this.batch.stop();
    await super.stop();
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'POST /v1/chat/completions',
        handler: (request, response) => this.generate(request, response),
      },
      {
        pattern: 'GET /v1/streams/:id',
        handler: (request, response) => this.resumeStream(request, response),
      },
      {
        pattern: 'POST /v1/streams/:id/suspend',
        handler: (request, response) => this.suspendStream(request, response),
      },
      {
        pattern: 'DELETE /v1/streams/:id',
        handler: (request, response) => this.cancelStream(request, response),
      },
      {
        pattern: 'GET /v1/load',
        handler: (_request, response) => sendJson(response, 200, this.reported),
      },
      {
        pattern: 'GET /v1/cache/events',
        handler: (request, response) => this.showEvents(request, response),
      },
      {
        pattern: 'POST /v1/orders',
        handler: (request, response) => this.takeOrder(request, response),
      },
      {
        pattern: 'GET /v1/state',
        handler: (_request, response) => sendJson(response, 200, this.state),
      },
      {
        pattern: 'GET /stand-in/runs',
        handler: (_request, response) => sendJson(response, 200, { runs: this.runs }),
      },
    ];
  }

  private async generate(request: GatewayRequest, response: ServerResponse): Promise<void> {
    const body = JSON.parse(await readText(request)) as EngineRequest;
    if (!this.state.models.includes(body.model)) {
      sendJson(response, 404, { error: { message: `model ${body.model} is not loaded` } });
      return;
    }
    const prompt = promptText(body);
    const cached = this.cache.use(prefixBlocks(prompt)) * BLOCK_CHARACTERS;
    const header = request.headers['x-request-id'];
    const id = typeof header === 'string' ? header : randomUUID();
    const stream = new TokenStream(id, body, countTokens(prompt.slice(cached)));
    this.started += 1;
    this.requests.add(id);
    this.streams.set(id, stream);
    this.serve(stream, response, 0);
    this.batch.add(stream);
  }

  private serve(stream: TokenStream, response: ServerResponse, from: number): void {
    stream.attach(response, from);
    response.on('close', () => {
      if (stream.isEnded) this.later(ENDED_STREAM_KEEP_MS, () => this.forget(stream));
      else
        this.later(this.options.orphanTimeoutMs ?? DEFAULT_ORPHAN_MS, () => this.endOrphan(stream));
    });
  }

  private endOrphan(stream: TokenStream): void {
    if (!stream.hasReader && !stream.suspended) this.abort(stream);
  }

  private abort(stream: TokenStream): void {
    this.batch.remove(stream);
    stream.cut();
    this.forget(stream);
  }

  private forget(stream: TokenStream): void {
    if (this.streams.get(stream.id) === stream) this.streams.delete(stream.id);
  }

  private resumeStream(request: GatewayRequest, response: ServerResponse): void {
    const stream = this.streams.get(streamId(request));
    if (stream === undefined) {
      sendJson(response, 404, { error: { message: 'no such stream' } });
      return;
    }
    this.serve(stream, response, Number(readQuery(request).get('from') ?? 0));
    if (!stream.suspended) return;
    stream.suspended = false;
    this.batch.add(stream);
  }

  /** A suspended stream leaves the batch and keeps its place until it is resumed or cancelled. */
  private suspendStream(request: GatewayRequest, response: ServerResponse): void {
    const stream = this.streams.get(streamId(request));
    if (stream === undefined || stream.isEnded) {
      sendJson(response, 404, { error: { message: 'no such stream is running' } });
      return;
    }
    this.batch.remove(stream);
    stream.suspended = true;
    sendJson(response, 200, { suspended: true });
  }

  private cancelStream(request: GatewayRequest, response: ServerResponse): void {
    const stream = this.streams.get(streamId(request));
    if (stream !== undefined) this.abort(stream);
    sendJson(response, 200, { cancelled: stream !== undefined });
  }

  private showEvents(request: GatewayRequest, response: ServerResponse): void {
    const after = Number(readQuery(request).get('after') ?? 0);
    sendJson(response, 200, { events: this.events.filter((event) => event.sequence > after) });
  }

  private async takeOrder(request: GatewayRequest, response: ServerResponse): Promise<void> {
    const result = await this.desk.execute(JSON.parse(await readText(request)) as Order);
    const status = result === OrderResult.Done ? 200 : result === OrderResult.NoWeights ? 503 : 409;
    sendJson(response, status, { result });
  }

  private publishEvent(event: CacheEvent): void {
    const gap = this.options.cacheEventLossInterval ?? 0;
    if (gap > 0 && event.sequence % gap === 0) return;
    this.later(this.options.lagMs ?? DEFAULT_LAG_MS, () => {
      this.events.push(event);
      if (this.events.length > KEPT_EVENTS) this.events = this.events.slice(-KEPT_EVENTS / 2);
    });
  }

  private sampleLoad(): void {
    const { runningCount, waitingCount, stepMs } = this.batch;
    const load = { running: runningCount, waiting: waitingCount, stepMs };
    this.later(this.options.lagMs ?? DEFAULT_LAG_MS, () => (this.reported = load));
  }

  private later(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMs);
    this.timers.add(timer);
  }
}

/** Position of the id in the path `/v1/streams/<id>`. */
const STREAM_ID_PART = 3;

function streamId(request: GatewayRequest): string {
  return request.originalUrl.split('?')[0]?.split('/')[STREAM_ID_PART] ?? '';
}
