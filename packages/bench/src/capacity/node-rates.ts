/** Measures CPU time, memory and control traffic of processes over a period. */
import type { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { FleetProcess } from '../process-fleet/fleet-process.ts';
import { readProcessUsage } from './process-usage.ts';

/** A process to measure. */
export interface MeasuredNode {
  process: FleetProcess;
  /** Address of the process's operator interface. */
  operatorsAddress: string;
}

/** Resource use of a process; CPU and traffic are per second. */
export interface NodeRates {
  /** CPU use in cores. */
  cpu: number;
  rssBytes: number;
  anonBytes: number;
  /** Bytes sent and received. */
  controlBytes: number;
  controlMessages: number;
}

/** Cumulative counters of a process at the time `at`; memory is the current value. */
interface NodeCounters extends NodeRates {
  at: number;
}

interface LinkCounters {
  controlBytes?: number;
  controlMessages?: number;
  receivedControlBytes?: number;
  receivedControlMessages?: number;
}

/** Measures the mean rates of the nodes while `workload` runs. */
export async function measureNodeRates(
  fleet: ProcessFleet,
  nodes: readonly MeasuredNode[],
  workload: () => Promise<void>,
): Promise<NodeRates> {
  const before = await readNodes(fleet, nodes);
  await workload();
  const after = await readNodes(fleet, nodes);
  return computeMeanRates(
    before.map((reading, index) => computeRates(reading, after[index] ?? reading)),
  );
}

async function readNodes(
  fleet: ProcessFleet,
  nodes: readonly MeasuredNode[],
): Promise<NodeCounters[]> {
  return Promise.all(nodes.map((node) => readNode(fleet, node)));
}

async function readNode(fleet: ProcessFleet, node: MeasuredNode): Promise<NodeCounters> {
  const status = await fleet.fetchStatus(node.operatorsAddress);
  const { cpuSeconds, rssBytes, anonBytes } = readProcessUsage(node.process.pid);
  const links = status['links'] as LinkCounters | undefined;
  return {
    at: performance.now(),
    cpu: cpuSeconds,
    rssBytes,
    anonBytes,
    controlBytes: (links?.controlBytes ?? 0) + (links?.receivedControlBytes ?? 0),
    controlMessages: (links?.controlMessages ?? 0) + (links?.receivedControlMessages ?? 0),
  };
}

function computeRates(before: NodeCounters, after: NodeCounters): NodeRates {
  const seconds = (after.at - before.at) / 1_000;
  return {
    cpu: (after.cpu - before.cpu) / seconds,
    rssBytes: after.rssBytes,
    anonBytes: after.anonBytes,
    controlBytes: (after.controlBytes - before.controlBytes) / seconds,
    controlMessages: (after.controlMessages - before.controlMessages) / seconds,
  };
}

function computeMeanRates(rates: readonly NodeRates[]): NodeRates {
  const mean = (key: keyof NodeRates): number =>
    rates.reduce((sum, entry) => sum + entry[key], 0) / Math.max(1, rates.length);
  return {
    cpu: mean('cpu'),
    rssBytes: mean('rssBytes'),
    anonBytes: mean('anonBytes'),
    controlBytes: mean('controlBytes'),
    controlMessages: mean('controlMessages'),
  };
}
