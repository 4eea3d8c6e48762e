/** Reads the values of a router's gauges from its state. */
import type { KeyFreshness, RouteIndex } from '@poplarpick/decisions';
import type { ProcessListeners } from '@poplarpick/fleet/listening/process-listeners';
import type { Clock, LogOutput } from '@poplarpick/kernel';
import type { EndpointDirectory } from './endpoints/endpoint-directory.ts';
import type { Evacuations } from './endpoints/evacuations.ts';
import type { LimitTracker } from './endpoints/limit-tracker.ts';
import type { WarmUpTracker } from './endpoints/warm-up-tracker.ts';
import type { EventLoopMonitor } from './event-loop-monitor.ts';
import type { LinkMonitor } from './link-monitor.ts';
import type { PeerTable } from './peers/peer-table.ts';
import type { PoisonGuard } from './poison/poison-guard.ts';
import type { PoolStates } from './pool-states.ts';
import type { MetricsSource } from './router-gauges.ts';
import type { WorkspaceShares } from './workspace-shares.ts';

/** The parts of a router's state that have gauges. */
export interface MeasuredRouter {
  clock: Clock;
  dataCentre: string;
  endpoints: EndpointDirectory;
  evacuations: Evacuations;
  eventLoop: EventLoopMonitor;
  link: LinkMonitor;
  freshness: KeyFreshness;
  limits: LimitTracker;
  listeners: ProcessListeners;
  logOutput: LogOutput | undefined;
  peers: PeerTable;
  poison: PoisonGuard;
  pools: PoolStates;
  routes: RouteIndex | undefined;
  shares: WorkspaceShares;
  warmUps: WarmUpTracker;
  countRouters(): number;
}

/** Creates the callbacks that read a router's gauges; they read its state only when they are called. */
export function createMetricsSource(router: MeasuredRouter): MetricsSource {
  return {
    keyAgeMs: () => router.freshness.ageMs(router.clock.monotonic()),
    routesVersion: () => router.routes?.table.version ?? 0,
    endpoints: () => router.endpoints.ids().length,
    routers: () => router.countRouters(),
    logLinesDropped: () => router.logOutput?.dropped ?? 0,
    remainingRetries: () => router.pools.remainingRetries,
    eventLoopDelayMs: () => router.eventLoop.meanDelayMs,
    eventLoopUtilization: () => router.eventLoop.utilization,
    openingMs: () => router.link.openingMs,
    callerBytes: () => ({ ...router.link.callerBytes }),
    blockedSegments: () => router.poison.countBlocked().segments,
    blockedRequests: () => router.poison.countBlocked().requests,
    limitedEndpoints: () => router.limits.limitedCount,
    coldEndpoints: () => router.warmUps.coldCount,
    evacuatedDataCentres: () => router.evacuations.count,
    reportAges: () => router.peers.reportAges(router.dataCentre, router.clock.monotonic()),
    usageAgeMs: () => router.peers.usageAgeMs(router.clock.monotonic()),
    shareTokens: () => router.shares.sumTokens(),
    heldBytes: (kind) => router.listeners.budget.heldOf(kind),
    heldBudgetBytes: () => router.listeners.budget.budgetBytes,
    connections: () =>
      Object.fromEntries(
        router.listeners.guards.map(({ name, connectionCount }) => [name, connectionCount]),
      ),
  };
}
