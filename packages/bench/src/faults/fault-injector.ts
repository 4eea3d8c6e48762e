/** Injects faults into a fleet of real processes and ends them again. */
import { sleep } from '@poplarpick/load';
import { Fault, ServiceCondition } from '@poplarpick/stand-ins';
import type { FaultProxy } from '@poplarpick/stand-ins';
import type { ProcessFleet, RouterNode, SidecarNode } from '../process-fleet/process-fleet.ts';
import { FaultKind } from './fault-kind.ts';
import type { PlannedFault } from './fault-kind.ts';

/** Ends an injected fault. */
type EndFault = () => void | Promise<void>;

/** Proxy faults on the links between routers and sidecars. */
const LINK_FAULTS: Partial<Record<FaultKind, Fault>> = {
  [FaultKind.LinkLatency]: Fault.Latency,
  [FaultKind.LinkDrip]: Fault.Drip,
  [FaultKind.LinkCut]: Fault.Cut,
  [FaultKind.LinkReset]: Fault.Reset,
  [FaultKind.LinkHalfOpen]: Fault.HalfOpen,
  [FaultKind.LinkSilence]: Fault.Silence,
  [FaultKind.LinkSilenceToRouter]: Fault.SilenceForward,
  [FaultKind.LinkSilenceToSidecar]: Fault.SilenceBackward,
};

/** Proxy faults on the connections between a sidecar and its endpoint. */
const ENDPOINT_FAULTS: Partial<Record<FaultKind, Fault>> = {
  [FaultKind.EndpointCut]: Fault.Cut,
  [FaultKind.EndpointReset]: Fault.Reset,
  [FaultKind.EndpointHalfOpen]: Fault.HalfOpen,
  [FaultKind.EndpointLatency]: Fault.Latency,
  [FaultKind.EndpointDrip]: Fault.Drip,
};

/** Injects the faults of one schedule. */
export class FaultInjector {
  private readonly fleet: ProcessFleet;
  private readonly abortCalls: () => void;
  /** Injectors of the faults that affect a group of links, a process, a service or the callers. */
  private readonly injectors: Partial<Record<FaultKind, (fault: PlannedFault) => EndFault>> = {
    [FaultKind.PartitionGroup]: (fault) => injectProxyFault(this.pickGroup(fault), Fault.Silence),
    [FaultKind.KillRouter]: (fault) => this.killRouter(this.pickRouter(fault)),
    [FaultKind.KillSidecar]: (fault) => this.killSidecar(this.pickSidecar(fault)),
    [FaultKind.PauseRouter]: (fault) => pauseProcess(this.pickRouter(fault)),
    [FaultKind.LongPauseRouter]: (fault) => pauseProcess(this.pickRouter(fault)),
    [FaultKind.PauseSidecar]: (fault) => pauseProcess(this.pickSidecar(fault)),
    [FaultKind.LongPauseSidecar]: (fault) => pauseProcess(this.pickSidecar(fault)),
    [FaultKind.ConfigurationDown]: () => this.stopConfigurationService(),
    [FaultKind.CallersGone]: () => this.disconnectCallers(),
  };
  /** Last restart of each host; overlapping faults restart the same process one after the other. */
  private readonly restarts = new Map<string, Promise<void>>();

  constructor(fleet: ProcessFleet, abortCalls: () => void) {
    this.fleet = fleet;
    this.abortCalls = abortCalls;
  }

  /** Waits for the fault's start, injects it, and ends it after its duration. */
  async runFault(fault: PlannedFault): Promise<void> {
    await sleep(fault.startMs);
    const endFault = this.inject(fault);
    await sleep(fault.durationMs);
    await endFault();
  }

  /** Restarts every process that has exited. */
  async restartExitedProcesses(): Promise<void> {
    for (const router of this.fleet.routers) {
      if (router.process.hasExited) await this.fleet.restartRouter(router);
    }
    for (const sidecar of this.fleet.sidecars) {
      if (sidecar.process.hasExited) await this.fleet.restartSidecar(sidecar);
    }
  }

  private inject(fault: PlannedFault): EndFault {
    const { kind } = fault;
    const linkFault = LINK_FAULTS[kind];
    if (linkFault !== undefined) return injectProxyFault(this.pickLinks(fault), linkFault);
    const endpointFault = ENDPOINT_FAULTS[kind];
    if (endpointFault !== undefined)
      return injectProxyFault([this.pickSidecar(fault).endpointProxy], endpointFault);
    const injectNodeFault = this.injectors[kind];
    if (injectNodeFault !== undefined) return injectNodeFault(fault);
    throw new Error(`no injector for the fault ${kind}`);
  }

  private killRouter(router: RouterNode): EndFault {
    router.process.signal('SIGKILL');
    return () => this.restartSerially(router.host, () => this.fleet.restartRouter(router));
  }

  private killSidecar(sidecar: SidecarNode): EndFault {
    sidecar.process.signal('SIGKILL');
    return () => this.restartSerially(sidecar.host, () => this.fleet.restartSidecar(sidecar));
  }

  private async restartSerially(host: string, restart: () => Promise<void>): Promise<void> {
    const previous = this.restarts.get(host) ?? Promise.resolve();
    // A restart fails if another fault kills the process meanwhile; the end of that fault restarts it.
    const current = previous.then(restart).catch(() => undefined);
    this.restarts.set(host, current);
    await current;
  }

  private stopConfigurationService(): EndFault {
    this.fleet.site.configuration.condition = ServiceCondition.Down;
    return () => {
      this.fleet.site.configuration.condition = ServiceCondition.Normal;
    };
  }

  private disconnectCallers(): EndFault {
    this.abortCalls();
    return () => undefined;
  }

  private pickRouter({ targetIndex }: PlannedFault): RouterNode {
    return pickFrom(this.fleet.routers, targetIndex);
  }

  private pickSidecar({ targetIndex }: PlannedFault): SidecarNode {
    return pickFrom(this.fleet.sidecars, targetIndex);
  }

  /** One link between a router and a sidecar group, or all links. */
  private pickLinks({ targetIndex }: PlannedFault): FaultProxy[] {
    const all = this.fleet.routers.flatMap((router) => router.linkProxies);
    return targetIndex % 2 === 0 ? all : [pickFrom(all, targetIndex)];
  }

  private pickGroup({ targetIndex }: PlannedFault): FaultProxy[] {
    return this.fleet.routers.map((router) => pickFrom(router.linkProxies, targetIndex));
  }
}

/** Removes the faults of all link and endpoint proxies of the fleet. */
export function clearProxyFaults(fleet: ProcessFleet): void {
  const links = fleet.routers.flatMap((router) => router.linkProxies);
  const endpoints = fleet.sidecars.map((sidecar) => sidecar.endpointProxy);
  [...links, ...endpoints].forEach((proxy) => (proxy.fault = Fault.None));
}

function injectProxyFault(proxies: readonly FaultProxy[], fault: Fault): EndFault {
  proxies.forEach((proxy) => (proxy.fault = fault));
  return () => proxies.forEach((proxy) => (proxy.fault = Fault.None));
}

function pauseProcess(node: RouterNode | SidecarNode): EndFault {
  const { process } = node;
  process.signal('SIGSTOP');
  return () => process.signal('SIGCONT');
}

function pickFrom<Item>(items: readonly Item[], index: number): Item {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('the fleet is empty');
  return item;
}
