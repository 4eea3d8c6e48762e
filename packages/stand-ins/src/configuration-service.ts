/**
 * Stand-in for the configuration service. The fleet can only read and watch it. Tests publish through
 * `publish` or `PUT /stand-in/value`, and simulate outages and staleness through `condition` or
 * `PUT /stand-in/condition`.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '@poplarpick/fleet';
import type { GatewayRequest } from '@poplarpick/fleet';
import { RateLimiter } from './rate-limiter.ts';
import { readQuery, readText, StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Simulated condition of the service. */
export enum ServiceCondition {
  Normal = 'normal',
  /** Every call fails with status 503. */
  Down = 'down',
  /** Readers keep getting the value that was current when this condition was set. */
  Stale = 'stale',
}

/** Options of a `ConfigurationService`. */
export interface ConfigurationServiceOptions {
  /** Calls per second allowed over all readers; a long-polling watch counts as one call. */
  callsPerSecond?: number;
}

/** A configuration document with its revision, as sent to readers. */
interface PublishedValue {
  revision: number;
  document: string;
}

/** A watch that waits for a revision higher than `after`. */
interface Waiter {
  after: number;
  resolve: () => void;
}

const DEFAULT_CALLS_PER_SECOND = 2_000;

/** Stores one value and serves it to readers, who can long-poll for the next revision. */
export class ConfigurationService extends StandIn {
  private readonly rateLimiter: RateLimiter;
  private published: PublishedValue | undefined;
  private visible: PublishedValue | undefined;
  private currentCondition = ServiceCondition.Normal;
  private waiters: Waiter[] = [];

  constructor(options: ConfigurationServiceOptions = {}) {
    super('configuration-service');
    this.rateLimiter = new RateLimiter(options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND);
  }

  /** Number of calls so far, and the most in one second. */
  get calls(): { total: number; peakPerSecond: number } {
    return { total: this.rateLimiter.total, peakPerSecond: this.rateLimiter.peakPerSecond };
  }

  get condition(): ServiceCondition {
    return this.currentCondition;
  }

  set condition(condition: ServiceCondition) {
    this.currentCondition = condition;
    if (condition !== ServiceCondition.Normal) return;
    this.visible = this.published;
    this.resolveWaiters();
  }

  /** Publishes a document with its revision. */
  publish(revision: number, document: string): void {
    this.published = { revision, document };
    if (this.currentCondition === ServiceCondition.Stale) return;
    this.visible = this.published;
    this.resolveWaiters();
  }

  protected override routes(): StandInRoute[] {
    return [
      { pattern: 'GET /v1/value', handler: (_request, response) => this.handleRead(response) },
      {
        pattern: 'GET /v1/watch',
        handler: (request, response) => this.handleWatch(request, response),
      },
      {
        pattern: 'PUT /stand-in/value',
        handler: (request, response) => this.handleSetValue(request, response),
      },
      {
        pattern: 'PUT /stand-in/condition',
        handler: (request, response) => this.handleSetCondition(request, response),
      },
      {
        pattern: 'GET /stand-in/calls',
        handler: (_request, response) => sendJson(response, 200, this.calls),
      },
    ];
  }

  private handleRead(response: ServerResponse): void {
    if (!this.admit(response)) return;
    if (this.visible === undefined) sendEmpty(response, 204);
    else sendJson(response, 200, this.visible);
  }

  private async handleWatch(request: GatewayRequest, response: ServerResponse): Promise<void> {
    if (!this.admit(response)) return;
    const query = readQuery(request);
    const after = Number(query.get('after') ?? 0);
    if (!this.hasNewer(after))
      await this.waitForNewer(after, Number(query.get('wait_ms') ?? 0), response);
    if (response.destroyed) return;
    if (this.currentCondition === ServiceCondition.Down) sendEmpty(response, 503);
    else if (this.visible !== undefined && this.visible.revision > after)
      sendJson(response, 200, this.visible);
    else sendEmpty(response, 204);
  }

  private hasNewer(after: number): boolean {
    return this.visible !== undefined && this.visible.revision > after;
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

  private resolveWaiters(): void {
    const ready = this.waiters.filter((waiter) => this.hasNewer(waiter.after));
    this.waiters = this.waiters.filter((waiter) => !ready.includes(waiter));
    for (const waiter of ready) waiter.resolve();
  }

  private admit(response: ServerResponse): boolean {
    const isAllowed = this.rateLimiter.tryAcquire(Date.now());
    if (this.currentCondition === ServiceCondition.Down) {
      sendEmpty(response, 503);
      return false;
    }
    if (!isAllowed) sendEmpty(response, 429);
    return isAllowed;
  }

  private async handleSetValue(request: GatewayRequest, response: ServerResponse): Promise<void> {
    const { revision, document } = JSON.parse(await readText(request)) as PublishedValue;
    this.publish(revision, document);
    sendEmpty(response, 204);
  }

  private async handleSetCondition(
    request: GatewayRequest,
    response: ServerResponse,
  ): Promise<void> {
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
