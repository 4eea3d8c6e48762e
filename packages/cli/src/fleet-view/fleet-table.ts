/** Formats the view of the fleet as tables for a terminal. */
import { sum } from '@poplarpick/load';
import Table from 'cli-table3';
import type { FleetView, HostView, WorkspaceView } from './fleet-view.ts';

const MIB = 1_048_576;
const KIB = 1_024;

/** Maximum number of rows of a table. Further rows are only counted. */
const MAX_ROWS = 40;

/** Formats the summary, the hosts, the workspaces and the unreachable processes. */
export function formatFleetTable(view: FleetView): string {
  return [
    ...formatHeader(view),
    '',
    formatHostTable(view.hosts),
    '',
    formatWorkspaceTable(view.workspaces),
    ...view.unreachable.map((line) => `not reached: ${line}`),
  ].join('\n');
}

function formatHeader(view: FleetView): string[] {
  const controlRates = view.hosts.flatMap(
    ({ controlBytesPerSecond }) => controlBytesPerSecond ?? [],
  );
  const meanControlRate = sum(controlRates) / Math.max(1, controlRates.length);
  const mismatchNote =
    view.revisions.length > 1 || view.presets.length > 1 ? '  (not the same everywhere)' : '';
  return [
    `${new Date(view.atMs).toISOString()}  ${view.hosts.length} processes`,
    `revision ${view.revisions.join(', ')}  preset ${view.presets.join(', ')}${mismatchNote}`,
    `waiting ${view.waiting}  slots ${view.running}/${view.slots} (${(view.utilisation * 100).toFixed(0)}%)  ` +
      `gap since the last refresh ${view.gap === null ? '–' : view.gap.toFixed(1)}  ` +
      `control ${controlRates.length === 0 ? '–' : formatRate(meanControlRate)} per node`,
  ];
}

function formatHostTable(hosts: readonly HostView[]): string {
  const table = createTable([
    'host',
    'role',
    'data centre',
    'revision',
    'preset',
    'links',
    'open',
    'slots',
    'control',
    'memory',
  ]);
  for (const host of hosts.slice(0, MAX_ROWS)) table.push(formatHostRow(host));
  return table.toString() + formatOmittedCount(hosts.length);
}

function formatHostRow(host: HostView): string[] {
  const slots = host.slots === null ? '' : `${host.running ?? 0}/${host.slots}`;
  return [
    host.host,
    host.role,
    host.dataCentre,
    String(host.revision),
    host.preset ?? '–',
    String(host.links),
    host.open === null ? '' : String(host.open),
    host.draining ? `${slots} draining` : slots,
    host.controlBytesPerSecond === null ? '–' : formatRate(host.controlBytesPerSecond),
    `${(host.rssBytes / MIB).toFixed(0)} MiB`,
  ];
}

function formatWorkspaceTable(workspaces: readonly WorkspaceView[]): string {
  const table = createTable(['workspace', 'weight', 'waiting', 'service/weight', 'share']);
  for (const { workspace, weight, waiting, service, share } of workspaces.slice(0, MAX_ROWS)) {
    const formattedShare = share === null ? '–' : `${(share * 100).toFixed(1)}%`;
    table.push([workspace, String(weight), String(waiting), service.toFixed(0), formattedShare]);
  }
  return table.toString() + formatOmittedCount(workspaces.length);
}

function createTable(head: string[]): Table.Table {
  return new Table({ head, style: { head: [], border: [], compact: true } });
}

function formatOmittedCount(count: number): string {
  return count > MAX_ROWS ? `\nand ${count - MAX_ROWS} more (all with --json)` : '';
}

function formatRate(bytesPerSecond: number): string {
  return `${(bytesPerSecond / KIB).toFixed(1)} KiB/s`;
}
