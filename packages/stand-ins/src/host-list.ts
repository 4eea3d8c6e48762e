/** Stand-in of the platform's list of hosts: it shows what was set some time ago. */
import { sendJson } from '@poplarpick/fleet';
import type { Host } from '@poplarpick/fleet';
import { readText, StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Options of a `HostList`. */
export interface HostListOptions {
  /** Time after which a change shows. */
  lagMs?: number;
}

/** Lists hosts with a lag. */
export class HostList extends StandIn {
  private readonly lagMs: number;
  private shown: Host[] = [];

  constructor(options: HostListOptions = {}) {
    super('host-list');
    this.lagMs = options.lagMs ?? 0;
  }

  /** Sets the hosts; they show after the lag. */
  set(hosts: Host[]): void {
    if (this.lagMs === 0) this.shown = hosts;
    else setTimeout(() => (this.shown = hosts), this.lagMs).unref();
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'GET /v1/hosts',
        handler: (_request, response) => sendJson(response, 200, { hosts: this.shown }),
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
