/**
 * Client of the control interface of a model engine. `GET /v1/state` returns what the engine has loaded,
 * and `POST /v1/orders` changes it. The response to a load order comes when the load has ended.
 */
import type { EngineState, PlannedOrder } from '@poplarpick/decisions';
import { Agent, request } from 'undici';
import { z } from 'zod';
import { ONE_REQUEST_PER_CONNECTION } from '../engine-connections.ts';
import { readBoundedJson, SMALL_ANSWER_BYTES } from '../bounded-body.ts';

const READ_TIMEOUT_MS = 1_000;

/** Maximum duration of a load. */
const LOAD_TIMEOUT_MS = 600_000;

const engineStateSchema = z.object({
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  version: z.string(),
  role: z.string(),
  fencing: z.string(),
  loading: z.boolean(),
});

/** Outcome of an order, as the engine reports it. */
export enum OrderOutcome {
  Done = 'done',
  /** Rejected, because the engine has seen a higher fencing token. */
  Stale = 'stale',
  /** Rejected, because another load is in progress. */
  Busy = 'busy',
  /** The weight store did not return the weights. */
  NoWeights = 'no-weights',
}

/** The status with which an engine answers a state, and an order that it has obeyed. */
const STATUS_OK = 200;

/** The engine has answered with a status that contradicts its answer. */
export class UnprovenAnswerError extends Error {
  constructor(status: number) {
    super(`the engine answered ${status}`);
    this.name = 'UnprovenAnswerError';
  }
}

const orderResponseSchema = z.object({ result: z.enum(OrderOutcome) });

/** Reads the state of an engine and sends it orders. */
export class EngineControlClient {
  private readonly baseUrl: string;
  private readonly agent = new Agent(ONE_REQUEST_PER_CONNECTION);

  constructor(baseUrl: string) {
    this.baseUrl = baseUrl.replace(/\/$/, '');
  }

  /** Reads the current state. Rejects if the engine does not return a valid one. */
  async readState(): Promise<EngineState> {
    const { statusCode, body } = await request(`${this.baseUrl}/v1/state`, {
      dispatcher: this.agent,
      headersTimeout: READ_TIMEOUT_MS,
      bodyTimeout: READ_TIMEOUT_MS,
      signal: AbortSignal.timeout(2 * READ_TIMEOUT_MS),
    });
    const state = await readBoundedJson(body, SMALL_ANSWER_BYTES);
    if (statusCode !== STATUS_OK) throw new UnprovenAnswerError(statusCode);
    return engineStateSchema.parse(state);
  }

  /** Sends an order with its fencing token. Rejects if the outcome is unknown. */
  async sendOrder(order: PlannedOrder, fencing: string): Promise<OrderOutcome> {
    const { statusCode, body } = await request(`${this.baseUrl}/v1/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...order, fencing }),
      dispatcher: this.agent,
      headersTimeout: LOAD_TIMEOUT_MS,
      bodyTimeout: LOAD_TIMEOUT_MS,
    });
    const { result } = orderResponseSchema.parse(await readBoundedJson(body, SMALL_ANSWER_BYTES));
    if (result === OrderOutcome.Done && statusCode !== STATUS_OK)
      throw new UnprovenAnswerError(statusCode);
    return result;
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
