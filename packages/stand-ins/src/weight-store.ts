/** Stand-in of the weight store: it gives out weights at a limited rate. */
import { sendJson } from '@poplarpick/fleet';
import { RateLimiter } from './rate-limiter.ts';
import { StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Options of a `WeightStore`. */
export interface WeightStoreOptions {
  /** Reads a second over all readers. */
  readsPerSecond?: number;
}

const DEFAULT_READS_PER_SECOND = 2;

/** Gives out weights by name. */
export class WeightStore extends StandIn {
  private readonly limit: RateLimiter;
  private refused = 0;

  constructor(options: WeightStoreOptions = {}) {
    super('weight-store');
    this.limit = new RateLimiter(options.readsPerSecond ?? DEFAULT_READS_PER_SECOND);
  }

  /** Reads so far, and those refused for their rate. */
  get reads(): { total: number; refused: number } {
    return { total: this.limit.total, refused: this.refused };
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'GET /v1/weights/:name',
        handler: (request, response) => {
          if (this.limit.take(Date.now())) {
            sendJson(response, 200, { name: request.originalUrl.split('/').at(-1) });
            return;
          }
          this.refused += 1;
          response.writeHead(429, { 'retry-after': '1' }).end();
        },
      },
      {
        pattern: 'GET /stand-in/reads',
        handler: (_request, response) => sendJson(response, 200, this.reads),
      },
    ];
  }
}
