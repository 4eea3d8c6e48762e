/** Formats burn reports as tables for a terminal. */
import Table from 'cli-table3';
import type { Objective } from '@poplarpick/decisions';
import type { BurnReport, ObjectiveBurn, PercentilePoint, WorkspaceBurn } from './burn-report.ts';
import type { RouteBurn } from './route-burn.ts';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Labels of the objectives in tables and plots. */
export const OBJECTIVE_LABELS: Record<Objective, string> = {
  first_token: 'first token',
  token_gap: 'token gap',
  refusals: 'refusals',
  completed: 'completed',
};

/** Formats the burn report of a fleet with one row for each objective of each workspace. */
export function formatBurnTable(report: BurnReport): string {
  const windows = report.windowsMs.map((windowMs) => `burn ${formatDuration(windowMs)}`);
  const table = new Table({
    head: ['workspace', 'objective', 'target', ...windows, 'budget left', 'alert', 'p95 ms'],
    style: { head: [], border: [], compact: true },
  });
  for (const workspace of report.workspaces) {
    for (const burn of workspace.burns) table.push(formatRow(workspace, burn));
  }
  return [...formatHeader(report), table.toString()].join('\n');
}

/** Formats the burn rates of routes between two scrapes. */
export function formatRouteTable(burns: readonly RouteBurn[]): string {
  const table = new Table({
    head: ['route', 'good', 'calls', 'burn'],
    style: { head: [], border: [], compact: true },
  });
  for (const { route, good, total, rate } of burns) {
    table.push([route, String(good), String(total), rate.toFixed(1)]);
  }
  return table.toString();
}

function formatHeader(report: BurnReport): string[] {
  const covered = formatDuration(report.coveredMs);
  const lines = [
    `${new Date(report.madeAtMs).toISOString()}  ${report.routers.length} routers, counts cover ${covered}`,
  ];
  for (const url of report.unreachable) lines.push(`missing: ${url}`);
  return lines;
}

function formatRow(workspace: WorkspaceBurn, burn: ObjectiveBurn): string[] {
  return [
    workspace.workspace,
    OBJECTIVE_LABELS[burn.objective],
    formatTarget(workspace, burn),
    ...burn.rates.map((rate) => rate.toFixed(1)),
    `${(burn.budgetLeft * 100).toFixed(0)}%`,
    burn.alert,
    formatObjectiveP95(workspace, burn),
  ];
}

function formatTarget({ objectives }: WorkspaceBurn, { objective, target }: ObjectiveBurn): string {
  const share = `${Number((target * 100).toPrecision(4))}%`;
  if (objective === 'first_token') return `${share} ≤ ${objectives.first_token_ms} ms`;
  if (objective === 'token_gap') return `${share} ≤ ${objectives.token_gap_ms} ms`;
  return share;
}

function formatObjectiveP95(workspace: WorkspaceBurn, { objective }: ObjectiveBurn): string {
  if (objective === 'first_token') return formatP95(workspace.firstToken);
  return objective === 'token_gap' ? formatP95(workspace.tokenGap) : '';
}

function formatP95(points: readonly PercentilePoint[]): string {
  const point = points.find(({ percentile }) => percentile === 95);
  return point === undefined ? '–' : point.ms.toFixed(1);
}

/** Formats a duration, such as `5 min`. */
export function formatDuration(windowMs: number): string {
  if (windowMs >= HOUR_MS) return `${Number((windowMs / HOUR_MS).toFixed(1))} h`;
  if (windowMs >= MINUTE_MS) return `${Math.round(windowMs / MINUTE_MS)} min`;
  return `${Math.round(windowMs / 1_000)} s`;
}
