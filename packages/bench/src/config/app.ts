/**
 * `config`: measures the time until a published revision is in force in every process, without and with
 * faults, counts the processes that revert to an older revision, and measures the calls of the
 * configuration service and the control traffic.
 */
import { parseFleetOptions } from '../fleet-options.ts';
import { Random, sleep } from '@poplarpick/load';
import { Fault, ServiceCondition, SitePreset } from '@poplarpick/stand-ins';
import {
  measureControlTraffic,
  listNodes,
  percentile,
  startControlFleet,
  waitUntil,
} from '../control/control-fleet.ts';
import type { FleetNode } from '../control/control-fleet.ts';
import type { ProcessFleet, RouterNode } from '../process-fleet/process-fleet.ts';

const MS_PER_SECOND = 1_000;
const TIMEOUT_MS = 30_000;
const SWITCHES_WITHOUT_FAULTS = 10;
const FAULT_MS = 3_000;
const TRAFFIC_WINDOW_SECONDS = 10;
const PRESETS = Object.values(SitePreset);

/** Times from the publication, or from the end of a fault, until a revision is in force. */
interface PropagationTimes {
  p50Seconds: number;
  p99Seconds: number;
  maxSeconds: number;
}

/** Entry of the `config` command. */
export const configCommand = {
  name: 'config',
  summary: 'time until a revision is in force everywhere  [--seed S] [--processes N] [--json]',
  run: runConfig,
};

async function runConfig(args: string[]): Promise<void> {
  const { seed, processes } = parseFleetOptions(args);
  const fleet = await startControlFleet(processes, { configurationProxies: true });
  try {
    const bench = new ConfigBench(fleet, seed);
    const result = await bench.run();
    console.log(JSON.stringify({ processes, seed, ...result }));
  } finally {
    await fleet.stop();
  }
}

/** Publishes revisions with and without faults and measures their propagation. */
class ConfigBench {
  private readonly fleet: ProcessFleet;
  private readonly random: Random;
  private revision = 1;
  /** Revision that was in force on each host before its last restart. */
  private readonly revisionBeforeRestart = new Map<string, number>();
  /** Times that a process replaced a revision by an older one. */
  private reverted = 0;

  constructor(fleet: ProcessFleet, seed: number) {
    this.fleet = fleet;
    this.random = new Random(seed);
  }

  async run() {
    await sleep(FAULT_MS);
    const callsBefore = this.fleet.site.configuration.calls.total;
    const traffic = await measureControlTraffic(this.fleet, TRAFFIC_WINDOW_SECONDS);
    const calls = this.fleet.site.configuration.calls.total - callsBefore;
    const withoutFaults = await this.measureWithoutFaults();
    const faults = {
      serviceDown: await this.measureWithServiceDown(),
      staleServiceAndRestart: await this.measureWithStaleService(),
      readerKilled: await this.measureWithKilledReader(),
      partition: await this.measureWithPartition(),
      paused: await this.measureWithPausedRouter(),
      restart: await this.measureWithRestart(),
    };
    const { peakPerSecond } = this.fleet.site.configuration.calls;
    this.countReverts();
    return {
      inForceP50Seconds: withoutFaults.p50Seconds,
      inForceP99Seconds: withoutFaults.p99Seconds,
      inForceMaxSeconds: withoutFaults.maxSeconds,
      reverted: this.reverted,
      serviceCallsPerSecond: calls / TRAFFIC_WINDOW_SECONDS,
      serviceCallsPeakPerSecond: peakPerSecond,
      ...traffic,
      faults,
    };
  }

  private async measureWithoutFaults(): Promise<PropagationTimes> {
    const times: number[] = [];
    for (let count = 0; count < SWITCHES_WITHOUT_FAULTS; count += 1) {
      times.push(...(await this.measureSwitch(listNodes(this.fleet))));
    }
    return summarizeTimes(times);
  }

  private async measureWithServiceDown(): Promise<PropagationTimes> {
    const { configuration } = this.fleet.site;
    configuration.condition = ServiceCondition.Down;
    await sleep(FAULT_MS);
    configuration.condition = ServiceCondition.Normal;
    return summarizeTimes(await this.measureSwitch(listNodes(this.fleet)));
  }

  /** The configuration service serves the first revision again while a router and a sidecar restart. */
  private async measureWithStaleService(): Promise<PropagationTimes> {
    this.fleet.site.publish({ revision: 1 });
    await this.restart(this.pickRouter());
    const [sidecar] = this.fleet.sidecars;
    if (sidecar !== undefined) {
      this.countRevertsBeforeRestart(sidecar);
      await this.fleet.restartSidecar(sidecar);
    }
    await sleep(FAULT_MS);
    return summarizeTimes(await this.measureSwitch(listNodes(this.fleet)));
  }

  /** Kills a router that watches the configuration service. */
  private async measureWithKilledReader(): Promise<PropagationTimes> {
    const victim = await this.findReader();
    this.countRevertsBeforeRestart(victim);
    await victim.process.kill();
    const others = listNodes(this.fleet).filter((node) => node !== victim);
    const times = await this.measureSwitch(others);
    await this.fleet.restartRouter(victim);
    await this.waitForRevision([victim]);
    return summarizeTimes(times);
  }

  /**
   * Silences the links to all routers and cuts one router off from the configuration service. Times count
   * from the end of the partition.
   */
  private async measureWithPartition(): Promise<PropagationTimes> {
    const victim = this.pickRouter();
    const proxies = this.fleet.routers.map((router) => router.linkProxy);
    proxies.forEach((proxy) => (proxy.fault = Fault.Silence));
    this.fleet.configurationProxy(victim.host).fault = Fault.Cut;
    await sleep(FAULT_MS);
    this.publish();
    await sleep(FAULT_MS);
    const healedAt = Date.now();
    proxies.forEach((proxy) => (proxy.fault = Fault.None));
    this.fleet.configurationProxy(victim.host).fault = Fault.None;
    return summarizeTimes(await this.measureTimesSince(listNodes(this.fleet), healedAt));
  }

  private async measureWithPausedRouter(): Promise<PropagationTimes> {
    const victim = this.pickRouter();
    victim.process.signal('SIGSTOP');
    const others = listNodes(this.fleet).filter((node) => node !== victim);
    const times = await this.measureSwitch(others);
    await sleep(FAULT_MS);
    const resumedAt = Date.now();
    victim.process.signal('SIGCONT');
    return summarizeTimes([...times, ...(await this.measureTimesSince([victim], resumedAt))]);
  }

  private async measureWithRestart(): Promise<PropagationTimes> {
    const victim = this.pickRouter();
    this.countRevertsBeforeRestart(victim);
    const restarted = this.fleet.restartRouter(victim);
    const others = listNodes(this.fleet).filter((node) => node !== victim);
    const times = await this.measureSwitch(others);
    await restarted;
    await this.waitForRevision([victim]);
    return summarizeTimes(times);
  }

  private publish(): void {
    this.revision += 1;
    const preset = PRESETS[this.revision % PRESETS.length];
    this.fleet.site.publish({
      revision: this.revision,
      ...(preset === undefined ? {} : { preset }),
    });
  }

  private async measureSwitch(nodes: readonly FleetNode[]): Promise<number[]> {
    const publishedAt = Date.now();
    this.publish();
    return this.measureTimesSince(nodes, publishedAt);
  }

  /** Returns the seconds from `since` until the current revision was in force in each process. */
  private async measureTimesSince(nodes: readonly FleetNode[], since: number): Promise<number[]> {
    await this.waitForRevision(nodes);
    return nodes.map(
      (node) => Math.max(0, this.findInForceTime(node, this.revision) - since) / MS_PER_SECOND,
    );
  }

  private async waitForRevision(nodes: readonly FleetNode[]): Promise<void> {
    await waitUntil(
      `revision ${this.revision}`,
      () => nodes.every((node) => this.findInForceTime(node, this.revision) > 0),
      TIMEOUT_MS,
    );
  }

  /** Returns the wall-clock time at which a revision came into force in a process, or 0 if it has not. */
  private findInForceTime(node: FleetNode, revision: number): number {
    const found = node.process.events.find(
      (event) =>
        event['event'] === 'configuration.in_force' && Number(event['revision']) === revision,
    );
    return found === undefined ? 0 : Date.parse(found['ts'] ?? '');
  }

  private async restart(router: RouterNode): Promise<void> {
    this.countRevertsBeforeRestart(router);
    await this.fleet.restartRouter(router);
  }

  /** Counts the reverts of a process before a restart discards its events, and stores its revision. */
  private countRevertsBeforeRestart(node: FleetNode): void {
    this.reverted += countDecreases(
      this.listRevisions(node),
      this.revisionBeforeRestart.get(node.host) ?? 0,
    );
    this.revisionBeforeRestart.set(node.host, this.listRevisions(node).at(-1) ?? 0);
  }

  private countReverts(): void {
    for (const node of listNodes(this.fleet)) {
      this.reverted += countDecreases(
        this.listRevisions(node),
        this.revisionBeforeRestart.get(node.host) ?? 0,
      );
    }
  }

  private listRevisions(node: FleetNode): number[] {
    return node.process.events
      .filter((event) => event['event'] === 'configuration.in_force')
      .map((event) => Number(event['revision']));
  }

  private pickRouter(): RouterNode {
    return this.random.pick(this.fleet.routers);
  }

  private async findReader(): Promise<RouterNode> {
    for (const router of this.fleet.routers) {
      const { configuration } = await this.fleet.fetchStatus(router.operatorsAddress);
      if ('reader' in configuration && configuration.reader === true) return router;
    }
    throw new Error('there is no reader');
  }
}

/** Counts the revisions that are lower than the one in force before them. */
function countDecreases(revisions: readonly number[], before: number): number {
  return [before, ...revisions].filter(
    (revision, index, all) => index > 0 && revision < (all[index - 1] ?? 0),
  ).length;
}

function summarizeTimes(seconds: readonly number[]): PropagationTimes {
  return {
    p50Seconds: percentile(seconds, 50),
    p99Seconds: percentile(seconds, 99),
    maxSeconds: percentile(seconds, 100),
  };
}
