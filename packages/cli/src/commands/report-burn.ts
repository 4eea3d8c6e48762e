/** `poplarpick report burn`: reports how fast workspaces consume their error budgets. */
import { writeFileSync } from 'node:fs';
import { Command, Flags } from '@oclif/core';
import type { ServiceLevels } from '@poplarpick/fleet';
import { buildBurnReport } from '../burn/burn-report.ts';
import type { BurnReport } from '../burn/burn-report.ts';
import { formatBurnTable, formatRouteTable } from '../burn/burn-table.ts';
import { computeRouteBurns } from '../burn/route-burn.ts';
import type { RouteBurn } from '../burn/route-burn.ts';
import { ExitCode } from '../exit-code.ts';
import {
  describeRequestError,
  fetchServiceLevels,
  mapConcurrently,
  crawlFleet,
} from '../operator-client.ts';
import { operatorFlags } from '../operator-flags.ts';
import { loadFile } from '../load-file.ts';

export class ReportBurn extends Command {
  static override description =
    'Report the service-level burn of all workspaces, merged over the routers.';
  static override enableJsonFlag = true;
  static override flags = {
    at: Flags.string({ multiple: true, description: operatorFlags.at.description ?? '' }),
    key: Flags.string({ env: 'POPLARPICK_OPERATOR_KEY', description: 'operator key' }),
    before: Flags.string({
      multiple: true,
      dependsOn: ['after'],
      description:
        'file with the metrics of a router from a first scrape; if given, no running process is queried',
    }),
    after: Flags.string({
      multiple: true,
      dependsOn: ['before'],
      description:
        'files with the metrics of the same routers, in the same order, from a later scrape',
    }),
    target: Flags.string({
      default: '0.99',
      description: 'minimum share of good calls; used with scrapes only',
    }),
    html: Flags.string({ description: 'also write a self-contained page with plots to this file' }),
  };

  override async run(): Promise<BurnReport | RouteBurn[]> {
    const { flags } = await this.parse(ReportBurn);
    const { before, after } = flags;
    if (before !== undefined && after !== undefined) {
      return this.reportScrapes(before, after, Number(flags.target));
    }
    if (flags.at === undefined || flags.key === undefined) {
      this.error('either --before and --after or --at and --key are needed', {
        exit: ExitCode.Usage,
      });
    }
    const report = await this.collectReport(flags.at, flags.key);
    this.log(formatBurnTable(report));
    if (flags.html !== undefined) await this.writePage(report, flags.html);
    return report;
  }

  private reportScrapes(before: string[], after: string[], target: number): RouteBurn[] {
    if (before.length !== after.length || !(target > 0 && target < 1)) {
      this.error(
        '--before and --after need the same number of files, and --target must be between 0 and 1',
        {
          exit: ExitCode.Usage,
        },
      );
    }
    const readText = (file: string): string => loadFile(this, file, (text) => text);
    const pairs = before.map((file, index) => ({
      before: readText(file),
      after: readText(after[index] ?? ''),
    }));
    const burns = computeRouteBurns(pairs, target);
    this.log(formatRouteTable(burns));
    return burns;
  }

  private async collectReport(seedUrls: string[], key: string): Promise<BurnReport> {
    const snapshot = await crawlFleet({ seedUrls, key });
    const unreachable = snapshot.unreachable.map(({ url, reason }) => `${url}: ${reason}`);
    const routers = snapshot.statuses.filter(({ status }) => status.process.role === 'router');
    const answers = await mapConcurrently(routers, async ({ url }): Promise<ServiceLevels[]> => {
      try {
        return [await fetchServiceLevels(url, key)];
      } catch (error) {
        unreachable.push(`${url}: ${describeRequestError(error)}`);
        return [];
      }
    });
    const levels = answers.flat();
    if (levels.length === 0)
      this.error(['no router could be queried', ...unreachable].join('\n'), {
        exit: ExitCode.Unreachable,
      });
    return buildBurnReport({ levels, unreachable, nowMs: Date.now() });
  }

  private async writePage(report: BurnReport, file: string): Promise<void> {
    // Imported on demand, since the plot library is large.
    const { renderBurnPage } = await import('../burn/burn-page.ts');
    writeFileSync(file, await renderBurnPage(report));
    this.log(`written to ${file}`);
  }
}
