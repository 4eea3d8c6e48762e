/**
 * Stand-in of the configuration service. The system can only read and watch it. Tests publish through
 * `publish` or `PUT /stand-in/value`, and set its condition through `condition` or
 * `PUT /stand-in/condition`.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '@poplarpick/fleet';
import type { GatewayRequest } from '@poplarpick/fleet';
import { RateLimiter } from './rate-limiter.ts';
import { readQuery, readText, StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Condition of the service. */
export enum ServiceCondition {
  Normal = 'normal',
  /** Every call fails. */
  Down = 'down',
  /** Values published from now on are not shown. */
  Stale = 'stale',
}

/** Options of a `ConfigurationService`. */
export interface ConfigurationServiceOptions {
  /** Calls a second over all readers; a waiting watch counts as one call. */
  callsPerSecond?: number;
}

interface PublishedValue {
  revision: number;
  document: string;
}

interface Waiter {
  after: number;
  resolve: () => void;
}

const DEFAULT_CALLS_PER_SECOND = 2_000;

/** Holds one value and lets readers wait for the next. */
export class ConfigurationService extends StandIn {
  private readonly limit: RateLimiter;
  private published: PublishedValue | undefined;
  private shown: PublishedValue | undefined;
  private current = ServiceCondition.Normal;
  private waiters: Waiter[] = [];

  constructor(options: ConfigurationServiceOptions = {}) {
    super('configuration-service');
    this.limit = new RateLimiter(options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND);
  }

  /** Calls so far and the most in one second. */
  get calls(): { total: number; peakPerSecond: number } {
    return { total: this.limit.total, peakPerSecond: this.limit.peakPerSecond };
  }

  get condition(): ServiceCondition {
    return this.current;
  }

  set condition(condition: ServiceCondition) {
    this.current = condition;
    if (condition !== ServiceCondition.Normal) return;
    this.shown = this.published;
    this.wake();
  }

  /** Publishes a document under its revision. */
  publish(revision: number, document: string): void {
    this.published = { revision, document };
    if (this.current === ServiceCondition.Stale) return;
    this.shown = this.published;
    this.wake();
  }

  protected override routes(): StandInRoute[] {
    return [
      { pattern: 'GET /v1/value', handler: (_request, response) => this.read(response) },
      { pattern: 'GET /v1/watch', handler: (request, response) => this.watch(request, response) },
      {
        pattern: 'PUT /stand-in/value',
        handler: (request, response) => this.receiveValue(request, response),
      },
      {
        pattern: 'PUT /stand-in/condition',
        handler: (request, response) => this.receiveCondition(request, response),
      },
      {
        pattern: 'GET /stand-in/calls',
        handler: (_request, response) => sendJson(response, 200, this.calls),
      },
    ];
  }

  private read(response: ServerResponse): void {
    if (!this.admit(response)) return;
    if (this.shown === undefined) sendEmpty(response, 204);
    else sendJson(response, 200, this.shown);
  }

  private async watch(request: GatewayRequest, response: ServerResponse): Promise<void> {
    if (!this.admit(response)) return;
    const query = readQuery(request);
    const after = Number(query.get('after') ?? 0);
    if (!this.hasNewer(after))
      await this.waitForNewer(after, Number(query.get('wait_ms') ?? 0), response);
    if (response.destroyed) return;
    if (this.current === ServiceCondition.Down) sendEmpty(response, 503);
    else if (this.shown !== undefined && this.shown.revision > after)
      sendJson(response, 200, this.shown);
    else sendEmpty(response, 204);
  }

  private hasNewer(after: number): boolean {
    return this.shown !== undefined && this.shown.revision > after;
  }

  private async waitForNewer(
    after: number,
    waitMs: number,
    response: ServerResponse,
  ): Promise<void> {
    await new Promise<void>((resolve) => {
      const waiter = { after, resolve };
      const timer = setTimeout(resolve, waitMs);
      response.on('close', resolve);
      this.waiters.push({
        after,
        resolve: () => {
          clearTimeout(timer);
          waiter.resolve();
        },
      });
    });
  }

  private wake(): void {
    const ready = this.waiters.filter((waiter) => this.hasNewer(waiter.after));
    this.waiters = this.waiters.filter((waiter) => !ready.includes(waiter));
    for (const waiter of ready) waiter.resolve();
  }

  private admit(response: ServerResponse): boolean {
    const within = this.limit.take(Date.now());
    if (this.current === ServiceCondition.Down) {
      sendEmpty(response, 503);
      return false;
    }
    if (!within) sendEmpty(response, 429);
    return within;
  }

  private async receiveValue(request: GatewayRequest, response: ServerResponse): Promise<void> {
    const { revision, document } = JSON.parse(await readText(request)) as PublishedValue;
    this.publish(revision, document);
    sendEmpty(response, 204);
  }

  private async receiveCondition(request: GatewayRequest, response: ServerResponse): Promise<void> {
    const text = await readText(request);
    const found = Object.values(ServiceCondition).find((condition) => condition === text);
    if (found !== undefined) this.condition = found;
    sendEmpty(response, found === undefined ? 400 : 204);
  }
}

function sendEmpty(response: ServerResponse, status: number): void {
  response.writeHead(status);
  response.end();
}
