/** `poplarpick report burn`: how fast workspaces use up their error budgets. */
import { writeFileSync } from 'node:fs';
import { Command, Flags } from '@oclif/core';
import type { ServiceLevels } from '@poplarpick/fleet';
import { buildBurnReport } from '../burn/burn-report.ts';
import type { BurnReport } from '../burn/burn-report.ts';
import { writeBurnTable } from '../burn/burn-table.ts';
import { ExitCode } from '../exit-code.ts';
import {
  describeReason,
  fetchServiceLevels,
  mapConcurrently,
  walkFleet,
} from '../operator-client.ts';
import { operatorFlags } from '../operator-flags.ts';

export class ReportBurn extends Command {
  static override description =
    'Report the service-level burn of all workspaces, merged over the routers.';
  static override enableJsonFlag = true;
  static override flags = {
    ...operatorFlags,
    html: Flags.string({ description: 'also write a self-contained page with plots to this file' }),
  };

  override async run(): Promise<BurnReport> {
    const { flags } = await this.parse(ReportBurn);
    const report = await this.collect(flags.at, flags.key);
    this.log(writeBurnTable(report));
    if (flags.html !== undefined) await this.writePage(report, flags.html);
    return report;
  }

  private async collect(at: string[], key: string): Promise<BurnReport> {
    const walk = await walkFleet({ at, key });
    const unreachable = walk.unreachable.map(({ url, reason }) => `${url}: ${reason}`);
    const routers = walk.statuses.filter(({ status }) => status.process.role === 'router');
    const answers = await mapConcurrently(routers, async ({ url }): Promise<ServiceLevels[]> => {
      try {
        return [await fetchServiceLevels(url, key)];
      } catch (error) {
        unreachable.push(`${url}: ${describeReason(error)}`);
        return [];
      }
    });
    const levels = answers.flat();
    if (levels.length === 0)
      this.error(['no router could be asked', ...unreachable].join('\n'), {
        exit: ExitCode.Unreachable,
      });
    return buildBurnReport({ levels, unreachable, nowMs: Date.now() });
  }

  private async writePage(report: BurnReport, file: string): Promise<void> {
    // The plot library is large, so it is loaded for this alone.
    const { renderBurnPage } = await import('../burn/burn-page.ts');
    writeFileSync(file, await renderBurnPage(report));
    this.log(`written to ${file}`);
  }
}
