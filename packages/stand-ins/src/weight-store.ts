/** Stand-in for the weight store, which serves model weights at a limited rate. */
import { sendJson } from '@poplarpick/fleet';
import { RateLimiter } from './rate-limiter.ts';
import { StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Options of a `WeightStore`. */
export interface WeightStoreOptions {
  /** Reads per second allowed over all readers. */
  readsPerSecond?: number;
}

const DEFAULT_READS_PER_SECOND = 2;

/** Serves weights by name; a read over the rate limit gets status 429. */
export class WeightStore extends StandIn {
  private readonly rateLimiter: RateLimiter;
  private refusedReads = 0;

  constructor(options: WeightStoreOptions = {}) {
    super('weight-store');
    this.rateLimiter = new RateLimiter(options.readsPerSecond ?? DEFAULT_READS_PER_SECOND);
  }

  /** Number of reads so far, and of those refused by the rate limit. */
  get reads(): { total: number; refused: number } {
    return { total: this.rateLimiter.total, refused: this.refusedReads };
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'GET /v1/weights/:name',
        handler: (request, response) => {
          if (this.rateLimiter.tryAcquire(Date.now())) {
            sendJson(response, 200, { name: request.originalUrl.split('/').at(-1) });
            return;
          }
          this.refusedReads += 1;
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
