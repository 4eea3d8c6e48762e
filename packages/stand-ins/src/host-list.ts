/** Stand-in for the platform's host list, which shows changes only after a lag. */
import { sendJson } from '@poplarpick/fleet';
import type { Host } from '@poplarpick/fleet';
import { readText, StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Options of a `HostList`. */
export interface HostListOptions {
  /** Delay in milliseconds until a change becomes visible. */
  lagMs?: number;
}

/** Serves the list of hosts as it was `lagMs` ago. */
export class HostList extends StandIn {
  private readonly lagMs: number;
  private visibleHosts: Host[] = [];

  constructor(options: HostListOptions = {}) {
    super('host-list');
    this.lagMs = options.lagMs ?? 0;
  }

  /** Replaces the list; readers see it after the lag. */
  set(hosts: Host[]): void {
    if (this.lagMs === 0) this.visibleHosts = hosts;
    else setTimeout(() => (this.visibleHosts = hosts), this.lagMs).unref();
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'GET /v1/hosts',
        handler: (_request, response) => sendJson(response, 200, { hosts: this.visibleHosts }),
      },
      {
        pattern: 'PUT /stand-in/hosts',
        handler: async (request, response) => {
          this.set(JSON.parse(await readText(request)) as Host[]);
          response.writeHead(204).end();
        },
      },
    ];
  }
}
