/**
 * Measures the control traffic of a fleet from the link counters of all processes. Every byte that one
 * node sends is received by another, so the mean traffic of a node in both directions is twice the mean
 * of what the nodes send.
 */
import { sum } from '@poplarpick/load';
import type { ProcessFleet } from '../process-fleet/process-fleet.ts';

/** Control traffic per second. */
export interface ControlRates {
  /** Sent and received, mean over all nodes. */
  bytesPerNodeSecond: number;
  messagesPerNodeSecond: number;
  /** Bytes per second of the node that sends most. */
  maxBytesSentPerSecond: number;
}

interface LinkCounters {
  controlBytes: number;
  controlMessages: number;
}

const MS_PER_SECOND = 1_000;

/** Measures the traffic between `start` and `stop`. */
export class ControlTrafficMeter {
  private readonly fleet: ProcessFleet;
  private countersAtStart: LinkCounters[] = [];
  private startedAt = 0;

  constructor(fleet: ProcessFleet) {
    this.fleet = fleet;
  }

  async start(): Promise<void> {
    this.countersAtStart = await this.readCounters();
    this.startedAt = performance.now();
  }

  async stop(): Promise<ControlRates> {
    const after = await this.readCounters();
    const seconds = (performance.now() - this.startedAt) / MS_PER_SECOND;
    const bytes = after.map(
      (counters, i) => counters.controlBytes - (this.countersAtStart[i]?.controlBytes ?? 0),
    );
    const messages = after.map(
      (counters, i) => counters.controlMessages - (this.countersAtStart[i]?.controlMessages ?? 0),
    );
    return {
      bytesPerNodeSecond: (2 * sum(bytes)) / after.length / seconds,
      messagesPerNodeSecond: (2 * sum(messages)) / after.length / seconds,
      maxBytesSentPerSecond: Math.max(...bytes) / seconds,
    };
  }

  private async readCounters(): Promise<LinkCounters[]> {
    const nodes = [...this.fleet.routers, ...this.fleet.sidecars];
    return Promise.all(
      nodes.map(async ({ operatorsAddress }) => {
        const status = (await this.fleet.fetchStatus(operatorsAddress)) as unknown as {
          links: LinkCounters;
        };
        return status.links;
      }),
    );
  }
}
