/** Injects the faults of a scenario at their scheduled times. */
import { FaultKind, sleep } from '@poplarpick/load';
import type { ScenarioFault } from '@poplarpick/load';
import { Fault } from '@poplarpick/stand-ins';
import type { ProcessFleet, RouterNode } from '../process-fleet/process-fleet.ts';

const MS_PER_SECOND = 1_000;

/** Injects all faults; resolves when the last one has ended. */
export async function runFaultTimeline(
  fleet: ProcessFleet,
  faults: readonly ScenarioFault[],
): Promise<void> {
  const startedAt = performance.now();
  await Promise.all(
    faults.map(async (fault) => {
      await sleep(Math.max(0, startedAt + fault.at_s * MS_PER_SECOND - performance.now()));
      await injectFault(fleet, fault);
    }),
  );
}

/** Injects one fault; resolves when it has ended. */
export async function injectFault(fleet: ProcessFleet, fault: ScenarioFault): Promise<void> {
  if (fault.kind === FaultKind.KillSidecar) {
    const sidecar = fleet.sidecars[fault.target % fleet.sidecars.length];
    if (sidecar !== undefined) await fleet.restartSidecar(sidecar);
    return;
  }
  const router = fleet.routers[fault.target % fleet.routers.length];
  if (router === undefined) return;
  if (fault.kind === FaultKind.RestartRouter) await restartGracefully(fleet, router);
  else await injectLinkFault(router, fault);
}

/** Restarts a router with SIGTERM, so that it finishes its open requests before it exits. */
async function restartGracefully(fleet: ProcessFleet, router: RouterNode): Promise<void> {
  router.process.signal('SIGTERM');
  await router.process.exited;
  await fleet.restartRouter(router);
}

async function injectLinkFault(router: RouterNode, fault: ScenarioFault): Promise<void> {
  const { linkProxy } = router;
  switch (fault.kind) {
    case FaultKind.HalfOpenLinks:
      linkProxy.fault = Fault.HalfOpen;
      return;
    case FaultKind.ResetLinks:
      linkProxy.fault = Fault.Reset;
      return;
    case FaultKind.SilentLinks:
      linkProxy.fault = Fault.Silence;
      break;
    case FaultKind.SlowLinks:
      linkProxy.fault = Fault.Latency;
      break;
    case FaultKind.KillSidecar:
    case FaultKind.RestartRouter:
      return;
  }
  await sleep(fault.duration_s * MS_PER_SECOND);
  linkProxy.fault = Fault.None;
}
