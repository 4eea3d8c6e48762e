/** Renders the burn report as a self-contained HTML page with plots. */
import { BURN_RULES, BurnAlert } from '@poplarpick/decisions';
import type { TopLevelSpec } from 'vega-lite';
import { renderPage } from '../plots/render-plot.ts';
import type { Plot } from '../plots/render-plot.ts';
import type { BurnReport, PercentilePoint } from './burn-report.ts';
import { findMostUrgentAlert } from './burn-report.ts';
import { formatDuration, OBJECTIVE_LABELS } from './burn-table.ts';

/** Maximum number of workspaces in a plot. The most urgent ones are shown. */
const PLOTTED_WORKSPACES = 20;
const PLOT_WIDTH = 480;
const PLOT_HEIGHT = 240;
const RULE_COLOUR = '#c0392b';

/** Renders the HTML page of a burn report. */
export async function renderBurnPage(report: BurnReport): Promise<string> {
  return renderPage({
    title: 'Service-level burn',
    summary: formatSummary(report),
    plots: [plotBurnRates(report), plotRemainingBudgets(report), ...plotLatencies(report)],
    table: buildTableRows(report),
  });
}

function formatSummary(report: BurnReport): string {
  const madeAt = new Date(report.madeAtMs).toISOString().replace('T', ' ').slice(0, 19);
  const countWorkspaces = (alert: BurnAlert): number =>
    report.workspaces.filter((workspace) => findMostUrgentAlert(workspace) === alert).length;
  const missing =
    report.unreachable.length === 0
      ? ''
      : ` Counts of ${report.unreachable.length} processes are missing: ${report.unreachable.join(', ')}.`;
  return (
    `${madeAt} UTC. ${report.workspaces.length} workspaces on ${report.routers.length} routers, whose counts ` +
    `cover ${formatDuration(report.coveredMs)}. To be handled now: ${countWorkspaces(BurnAlert.Page)}; ` +
    `within the day: ${countWorkspaces(BurnAlert.Ticket)}.${missing}`
  );
}

function plotBurnRates({ series }: BurnReport): Plot {
  const values = series.map(({ startMs, objective, rate }) => ({
    time: startMs,
    rate,
    objective: OBJECTIVE_LABELS[objective],
  }));
  const thresholds = BURN_RULES.map(({ rate, alert }) => ({ rate, alert }));
  const spec = {
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
    layer: [
      {
        data: { values },
        mark: { type: 'line', point: true, strokeWidth: 2 },
        encoding: {
          x: { field: 'time', type: 'temporal', scale: { type: 'utc' }, title: 'time (UTC)' },
          y: { field: 'rate', type: 'quantitative', title: 'burn rate', scale: { type: 'symlog' } },
          color: { field: 'objective', type: 'nominal' },
        },
      },
      {
        data: { values: thresholds },
        mark: { type: 'rule', color: RULE_COLOUR, strokeDash: [4, 4] },
        encoding: { y: { field: 'rate', type: 'quantitative' } },
      },
    ],
  } as TopLevelSpec;
  return {
    title: 'Burn rate of each minute, all workspaces',
    caption:
      'A rate of 1 uses up exactly the error budget. The dashed lines are the rates for a ticket (6) and a page (14.4).',
    spec,
  };
}

function plotRemainingBudgets({ workspaces }: BurnReport): Plot {
  const values = workspaces.slice(0, PLOTTED_WORKSPACES).flatMap(({ workspace, burns }) =>
    burns.map(({ objective, budgetLeft }) => ({
      workspace,
      objective: OBJECTIVE_LABELS[objective],
      left: Math.max(-1, budgetLeft),
    })),
  );
  const spec = {
    width: PLOT_WIDTH - 60,
    height: { step: 16 },
    data: { values },
    mark: { type: 'point', filled: true, size: 70, opacity: 0.85 },
    encoding: {
      x: {
        field: 'left',
        type: 'quantitative',
        title: 'share of the budget left',
        axis: { format: '%' },
        scale: { domain: [-1, 1] },
      },
      y: { field: 'workspace', type: 'nominal', title: null, sort: null },
      color: { field: 'objective', type: 'nominal' },
    },
  } as TopLevelSpec;
  return {
    title: 'Error budget left over the longest window',
    caption:
      'The most urgent workspaces first. Below 0% the budget is overspent; values below -100% are drawn at -100%.',
    spec,
  };
}

function plotLatencies(report: BurnReport): Plot[] {
  const [objectives] = report.workspaces.map((workspace) => workspace.objectives);
  return [
    plotPercentiles('Time to the first token', report.firstToken, objectives?.first_token_ms),
    plotPercentiles('Time between two tokens', report.tokenGap, objectives?.token_gap_ms),
  ];
}

function plotPercentiles(
  title: string,
  points: readonly PercentilePoint[],
  objectiveMs: number | undefined,
): Plot {
  const values = points.map(({ percentile, ms }) => ({ label: `p${percentile}`, ms }));
  const spec = {
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
    layer: [
      {
        data: { values },
        mark: { type: 'bar', width: { band: 0.7 } },
        encoding: {
          x: {
            field: 'label',
            type: 'ordinal',
            sort: null,
            title: 'percentile',
            axis: { labelAngle: 0 },
          },
          y: { field: 'ms', type: 'quantitative', title: 'milliseconds' },
        },
      },
      {
        data: { values: objectiveMs === undefined ? [] : [{ ms: objectiveMs }] },
        mark: { type: 'rule', color: RULE_COLOUR, strokeDash: [4, 4], strokeWidth: 2 },
        encoding: { y: { field: 'ms', type: 'quantitative' } },
      },
    ],
  } as TopLevelSpec;
  const caption =
    'All workspaces over the last hour or two; the dashed line is the objective of the first workspace of the table.';
  return { title, caption, spec };
}

function buildTableRows(report: BurnReport): string[][] {
  const windows = report.windowsMs.map((windowMs) => `burn ${formatDuration(windowMs)}`);
  const head = ['workspace', 'objective', 'target', ...windows, 'budget left', 'alert'];
  const rows = report.workspaces.flatMap((workspace) =>
    workspace.burns.map((burn) => [
      workspace.workspace,
      OBJECTIVE_LABELS[burn.objective],
      `${Number((burn.target * 100).toPrecision(4))}%`,
      ...burn.rates.map((rate) => rate.toFixed(1)),
      `${(burn.budgetLeft * 100).toFixed(0)}%`,
      burn.alert,
    ]),
  );
  return [head, ...rows];
}
