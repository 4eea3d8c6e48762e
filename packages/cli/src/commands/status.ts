/** `poplarpick status`: shows the state of the fleet as its processes report it, once or repeatedly. */
import { setTimeout as pause } from 'node:timers/promises';
import { Command, Flags } from '@oclif/core';
import { parseFleetConfiguration } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { ExitCode } from '../exit-code.ts';
import { formatFleetTable } from '../fleet-view/fleet-table.ts';
import { buildFleetView, readControlBytes } from '../fleet-view/fleet-view.ts';
import type { FleetView } from '../fleet-view/fleet-view.ts';
import { fetchConfiguration, crawlFleet } from '../operator-client.ts';
import type { FleetSnapshot, ProcessStatus } from '../operator-client.ts';
import { operatorFlags } from '../operator-flags.ts';

const CLEAR_SCREEN = '\u001b[2J\u001b[H';
const SECOND_MS = 1_000;

/** Result that `--json` prints. */
interface StatusResult {
  fleet: FleetView;
  processes: ProcessStatus[];
}

export class Status extends Command {
  static override description =
    'Show the fleet: hosts, revisions, presets, backlog, shares, gap, utilisation, control traffic.';
  static override enableJsonFlag = true;
  static override flags = {
    ...operatorFlags,
    watch: Flags.boolean({ char: 'w', description: 'refresh until interrupted' }),
    interval: Flags.integer({ min: 1, default: 1, description: 'seconds between refreshes' }),
    only: Flags.boolean({
      description: 'query only the given processes, without discovering others',
    }),
  };
  private previousView: FleetView | undefined;
  private previousControlBytes: Map<string, number> | undefined;
  private configuration: FleetConfiguration | undefined;

  override async run(): Promise<StatusResult> {
    const { flags } = await this.parse(Status);
    const refresh = async (): Promise<StatusResult> =>
      this.readFleet(flags.at, flags.key, flags.only);
    // Rates are computed from two successive snapshots.
    await refresh();
    let result: StatusResult;
    do {
      await pause(flags.interval * SECOND_MS);
      result = await refresh();
      if (flags.watch && this.jsonEnabled())
        process.stdout.write(`${JSON.stringify(result.fleet)}\n`);
      else this.log((flags.watch ? CLEAR_SCREEN : '') + formatFleetTable(result.fleet));
    } while (flags.watch);
    return result;
  }

  private async readFleet(seedUrls: string[], key: string, only: boolean): Promise<StatusResult> {
    const snapshot = await crawlFleet({
      seedUrls,
      key,
      ...(only ? { maxProcesses: seedUrls.length } : {}),
    });
    if (snapshot.statuses.length === 0)
      this.error(snapshot.unreachable.map(({ url, reason }) => `${url}: ${reason}`).join('\n'), {
        exit: ExitCode.Unreachable,
      });
    await this.updateConfiguration(snapshot, key);
    const fleet = buildFleetView({
      snapshot,
      configuration: this.configuration,
      previous: this.previousView,
      ...(this.previousControlBytes === undefined
        ? {}
        : { previousControlBytes: this.previousControlBytes }),
      nowMs: Date.now(),
    });
    this.previousView = fleet;
    this.previousControlBytes = readControlBytes(snapshot);
    return { fleet, processes: snapshot.statuses.map(({ status }) => status) };
  }

  /** Fetches the configuration, which contains the weights, if the newest revision has changed. */
  private async updateConfiguration(snapshot: FleetSnapshot, key: string): Promise<void> {
    const newest = snapshot.statuses.reduce((best, entry) =>
      entry.status.configuration.revision > best.status.configuration.revision ? entry : best,
    );
    const { revision } = newest.status.configuration;
    if (revision === 0 || revision === this.configuration?.revision) return;
    try {
      const { text } = await fetchConfiguration(newest.url, key);
      this.configuration = parseFleetConfiguration(text, `revision ${revision}`);
    } catch {
      // Without a configuration, all weights are shown as 1; the rest of the view remains valid.
      this.configuration = undefined;
    }
  }
}
