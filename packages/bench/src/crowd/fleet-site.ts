/** One router and one sidecar of the fleet, as processes with a small heap, before a stand-in application engine. */
import { EndpointKind } from '@poplarpick/decisions';
import { planSite } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { RouterNode, SidecarNode } from '../process-fleet/process-fleet.ts';
import type { CrowdHead } from './crowd.ts';
import type { CrowdTarget } from './crowd-player.ts';

/** A listener of a fleet. */
export enum FleetListener {
  Callers = 'callers',
  RouterOperators = 'operators of a router',
  Links = 'links',
  SidecarOperators = 'operators of a sidecar',
}

/** A fleet of two processes. */
export class FleetSite {
  private readonly fleet: ProcessFleet;

  private constructor(fleet: ProcessFleet) {
    this.fleet = fleet;
  }

  /** Starts the processes with a heap of this size, and waits until they are connected. */
  static async start(heapMb: number): Promise<FleetSite> {
    const plan = planSite();
    const engine = plan.endpoints.find(({ kind }) => kind === EndpointKind.Application);
    if (engine === undefined) throw new Error('the site has no application engine');
    const fleet = await ProcessFleet.start({
      plan: { ...plan, endpoints: [engine] },
      routers: 1,
      direct: true,
      nodeOptions: [`--max-old-space-size=${heapMb}`],
    });
    return new FleetSite(fleet);
  }

  /** Id of the process that has a listener; undefined once it has ended. */
  pid(listener: FleetListener): number | undefined {
    const node = listener === FleetListener.SidecarOperators ? this.sidecar : this.router;
    return node.process.hasExited ? undefined : node.process.pid;
  }

  target(listener: FleetListener): CrowdTarget {
    const [host = '', port] = this.address(listener).split(':');
    return { host, port: Number(port) };
  }

  /** Head of a request that the router would pass on. */
  get callHead(): CrowdHead {
    const { service, nonIdempotentPath, workspaces } = this.fleet.site.plan;
    const headers = { Host: 'h', Authorization: `Bearer ${workspaces[0]?.key ?? ''}` };
    return { target: `/apps/${service}${nonIdempotentPath}`, headers };
  }

  async stop(): Promise<void> {
    await this.fleet.stop();
  }

  private get router(): RouterNode {
    const [router] = this.fleet.routers;
    if (router === undefined) throw new Error('the fleet has no router');
    return router;
  }

  private get sidecar(): SidecarNode {
    const [sidecar] = this.fleet.sidecars;
    if (sidecar === undefined) throw new Error('the fleet has no sidecar');
    return sidecar;
  }

  private address(listener: FleetListener): string {
    switch (listener) {
      case FleetListener.Callers:
        return this.router.callersAddress;
      case FleetListener.RouterOperators:
        return this.router.operatorsAddress;
      case FleetListener.Links:
        return this.router.linksAddress;
      case FleetListener.SidecarOperators:
        return this.sidecar.operatorsAddress;
    }
  }
}
