/**
 * The side of a model engine that takes orders: `GET /v1/state` shows what it has loaded, and
 * `POST /v1/orders` changes it. An order that loads is answered when the load has ended.
 */
import type { EngineState, PlannedOrder } from '@poplarpick/decisions';
import { Agent, request } from 'undici';
import { z } from 'zod';

const READ_TIMEOUT_MS = 1_000;

/** Time that a load may take. */
const LOAD_TIMEOUT_MS = 600_000;

const engineStateSchema = z.object({
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  version: z.string(),
  role: z.string(),
  fencing: z.string(),
  loading: z.boolean(),
});

/** How the engine answered an order. */
export enum OrderOutcome {
  Done = 'done',
  /** The engine has seen a higher fencing number. */
  Stale = 'stale',
  /** Another load is under way. */
  Busy = 'busy',
  /** The weight store gave no weights. */
  NoWeights = 'no-weights',
}

const orderResponseSchema = z.object({ result: z.enum(OrderOutcome) });

/** Reads an engine's state and gives it orders. */
export class EngineControlClient {
  private readonly baseUrl: string;
  private readonly agent = new Agent();

  constructor(baseUrl: string) {
    this.baseUrl = baseUrl.replace(/\/$/, '');
  }

  /** The state now. Rejects where the engine does not show it. */
  async readState(): Promise<EngineState> {
    const { body } = await request(`${this.baseUrl}/v1/state`, {
      dispatcher: this.agent,
      headersTimeout: READ_TIMEOUT_MS,
      bodyTimeout: READ_TIMEOUT_MS,
    });
    return engineStateSchema.parse(await body.json());
  }

  /** Gives an order. Rejects where its outcome is unknown. */
  async sendOrder(order: PlannedOrder, fencing: string): Promise<OrderOutcome> {
    const { body } = await request(`${this.baseUrl}/v1/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...order, fencing }),
      dispatcher: this.agent,
      headersTimeout: LOAD_TIMEOUT_MS,
      bodyTimeout: LOAD_TIMEOUT_MS,
    });
    return orderResponseSchema.parse(await body.json()).result;
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
