/** The picture of the fleet as tables for terminals. */
import Table from 'cli-table3';
import type { FleetView, HostView, WorkspaceView } from './fleet-view.ts';

const MIB = 1_048_576;
const KIB = 1_024;

/** Most lines of a table; what is left out is counted. */
const LINE_LIMIT = 40;

/** Writes the whole picture. */
export function formatFleetTable(view: FleetView): string {
  return [
    ...writeHead(view),
    '',
    writeHosts(view.hosts),
    '',
    writeWorkspaces(view.workspaces),
    ...view.unreachable.map((line) => `not reached: ${line}`),
  ].join('\n');
}

function writeHead(view: FleetView): string[] {
  const control = view.hosts.flatMap(({ controlBytesPerSecond }) => controlBytesPerSecond ?? []);
  const mean = control.reduce((sum, value) => sum + value, 0) / Math.max(1, control.length);
  const split =
    view.revisions.length > 1 || view.presets.length > 1 ? '  (not the same everywhere)' : '';
  return [
    `${new Date(view.atMs).toISOString()}  ${view.hosts.length} processes`,
    `revision ${view.revisions.join(', ')}  preset ${view.presets.join(', ')}${split}`,
    `waiting ${view.waiting}  slots ${view.running}/${view.slots} (${(view.utilisation * 100).toFixed(0)}%)  ` +
      `gap since the last look ${view.gap === null ? '–' : view.gap.toFixed(1)}  ` +
      `control ${control.length === 0 ? '–' : formatRate(mean)} per node`,
  ];
}

function writeHosts(hosts: readonly HostView[]): string {
  const table = makeTable([
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
  for (const host of hosts.slice(0, LINE_LIMIT)) table.push(writeHost(host));
  return table.toString() + describeRest(hosts.length);
}

function writeHost(host: HostView): string[] {
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

function writeWorkspaces(workspaces: readonly WorkspaceView[]): string {
  const table = makeTable(['workspace', 'weight', 'waiting', 'service/weight', 'share']);
  for (const { workspace, weight, waiting, service, share } of workspaces.slice(0, LINE_LIMIT)) {
    const part = share === null ? '–' : `${(share * 100).toFixed(1)}%`;
    table.push([workspace, String(weight), String(waiting), service.toFixed(0), part]);
  }
  return table.toString() + describeRest(workspaces.length);
}

function makeTable(head: string[]): Table.Table {
  return new Table({ head, style: { head: [], border: [], compact: true } });
}

function describeRest(count: number): string {
  return count > LINE_LIMIT ? `\nand ${count - LINE_LIMIT} more (all with --json)` : '';
}

function formatRate(bytesPerSecond: number): string {
  return `${(bytesPerSecond / KIB).toFixed(1)} KiB/s`;
}
