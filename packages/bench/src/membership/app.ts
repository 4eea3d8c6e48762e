/**
 * `membership`: measures the detection time of killed hosts, false suspicions under message loss, the
 * time until all routers agree on the members after a partition of all processes, and the control
 * traffic.
 */
import { parseFleetOptions } from '../fleet-options.ts';
import { Random, sleep } from '@poplarpick/load';
import { Fault } from '@poplarpick/stand-ins';
import {
  measureControlTraffic,
  listNodes,
  percentile,
  startControlFleet,
  waitUntil,
} from '../control/control-fleet.ts';
import type { FleetNode } from '../control/control-fleet.ts';
import type { ProcessFleet } from '../process-fleet/process-fleet.ts';

const MS_PER_SECOND = 1_000;
const MESSAGE_LOSS = 0.05;
const KILLS = 3;
const TIMEOUT_MS = 60_000;
const SETTLE_MS = 3_000;
const TRAFFIC_WINDOW_SECONDS = 15;
const PARTITION_MS = 10_000;

interface MembershipSection {
  alive: number;
  digest: string;
}

/** Entry of the `membership` command. */
export const membershipCommand = {
  name: 'membership',
  summary: 'detection, false suspicions and rejoin  [--seed S] [--processes N] [--json]',
  run: runMembership,
};

async function runMembership(args: string[]): Promise<void> {
  const { seed, processes } = parseFleetOptions(args);
  const fleet = await startControlFleet(processes, { messageLoss: MESSAGE_LOSS });
  try {
    await waitForConvergence(fleet, processes);
    await sleep(SETTLE_MS);
    const before = countSuspicions(fleet);
    const traffic = await measureControlTraffic(fleet, TRAFFIC_WINDOW_SECONDS);
    const falseSuspicions = countSuspicions(fleet) - before;
    const detections = await measureDetections(fleet, processes, new Random(seed));
    const convergeMs = await measureConvergence(fleet, processes);
    console.log(
      JSON.stringify({
        processes,
        seed,
        messageLoss: MESSAGE_LOSS,
        detectionP50Seconds: percentile(detections, 50),
        detectionP99Seconds: percentile(detections, 99),
        falseSuspicions,
        falseSuspicionWindowSeconds: TRAFFIC_WINDOW_SECONDS,
        convergeAfterPartitionSeconds: convergeMs / MS_PER_SECOND,
        ...traffic,
      }),
    );
  } finally {
    await fleet.stop();
  }
}

/** Kills hosts one after the other; returns the seconds until each other router considered them down. */
async function measureDetections(
  fleet: ProcessFleet,
  processes: number,
  random: Random,
): Promise<number[]> {
  const seconds: number[] = [];
  for (let round = 0; round < KILLS; round += 1) {
    const candidates: FleetNode[] = round % 2 === 0 ? fleet.routers : fleet.sidecars;
    const victim = random.pick(candidates);
    const observers = fleet.routers.filter((router) => router !== victim);
    const killedAt = Date.now();
    await victim.process.kill();
    const isDetected = () =>
      observers.every((node) => findDownTime(node, victim.host, killedAt) > 0);
    await waitUntil(`loss of ${victim.host}`, isDetected, TIMEOUT_MS);
    seconds.push(
      ...observers.map(
        (node) => (findDownTime(node, victim.host, killedAt) - killedAt) / MS_PER_SECOND,
      ),
    );
    if ('callersAddress' in victim) await fleet.restartRouter(victim);
    else await fleet.restartSidecar(victim);
    await waitForConvergence(fleet, processes);
  }
  return seconds;
}

/** Partitions all processes; returns the milliseconds from the end of the partition to convergence. */
async function measureConvergence(fleet: ProcessFleet, processes: number): Promise<number> {
  fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.Silence));
  await sleep(PARTITION_MS);
  fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.None));
  return waitForConvergence(fleet, processes);
}

/** Waits until all routers report the same membership digest with all processes alive. */
async function waitForConvergence(fleet: ProcessFleet, processes: number): Promise<number> {
  const isConverged = async (): Promise<boolean> => {
    // A router that has just restarted refuses the request until it has loaded the operators' key.
    const statuses = await Promise.all(
      fleet.routers.map(({ operatorsAddress }) => fleet.fetchStatus(operatorsAddress)),
    ).catch(() => []);
    const memberships = statuses.map((status) => status['membership'] as MembershipSection);
    const [first] = memberships;
    return (
      memberships.length > 0 &&
      memberships.every(({ alive, digest }) => alive === processes && digest === first?.digest)
    );
  };
  return waitUntil('membership convergence', isConverged, TIMEOUT_MS);
}

/** Returns the time since `since` at which a process considered the host down, or 0 if it has not. */
function findDownTime(node: FleetNode, host: string, since: number): number {
  const times = node.process.events
    .filter((event) => event['event'] === 'membership.down' && event['peer'] === host)
    .map((event) => Date.parse(event['ts'] ?? ''));
  return times.find((time) => time >= since) ?? 0;
}

/** Counts distinct suspicions; one that several processes report counts once. */
function countSuspicions(fleet: ProcessFleet): number {
  const suspicions = new Set<string>();
  for (const node of listNodes(fleet)) {
    for (const event of node.process.events) {
      if (event['event'] !== 'membership.suspect') continue;
      suspicions.add(`${event['peer'] ?? ''} ${event['version'] ?? ''}`);
    }
  }
  return suspicions.size;
}
