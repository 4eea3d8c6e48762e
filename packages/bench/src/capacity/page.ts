/** Renders the tables of the capacity page between their markers from a result. */
import type { ConfigurationPoint } from './configuration-cost.ts';
import type { CapacityLine } from './capacity-line.ts';
import type { DesignLinks } from './capacity-terms.ts';
import type { MeasuredSlope } from './slopes.ts';
import type { Sweep } from './sweeps.ts';

/** Content of `docs/capacity.json`. */
export interface CapacityResult {
  command: string;
  seconds: number;
  /** One-minute load average of the machine before the run. */
  loadAverage: number;
  design: Record<string, number>;
  limits: Record<string, number>;
  links: DesignLinks;
  sweeps: Sweep[];
  configurations: ConfigurationPoint[];
  slopes: MeasuredSlope[];
  lines: CapacityLine[];
}

/** Tables of the page, named as in their markers. */
export enum PageTable {
  Lines = 'lines',
  Terms = 'terms',
  Slopes = 'slopes',
  Configuration = 'configuration',
}

const TABLE_RENDERERS: Record<PageTable, (result: CapacityResult) => string> = {
  [PageTable.Lines]: renderLines,
  [PageTable.Terms]: renderTerms,
  [PageTable.Slopes]: renderSlopes,
  [PageTable.Configuration]: renderConfigurations,
};

/** Replaces all tables of the page. Throws if a marker is missing. */
export function fillPageTables(page: string, result: CapacityResult): string {
  return Object.values(PageTable).reduce(
    (text, table) => replaceTable(text, table, TABLE_RENDERERS[table](result)),
    page,
  );
}

function replaceTable(page: string, table: PageTable, content: string): string {
  const begin = `<!-- begin ${table} -->`;
  const end = `<!-- end ${table} -->`;
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from < 0 || to < from) throw new Error(`the page has no table ${table}`);
  return `${page.slice(0, from + begin.length)}\n\n${content}\n\n${page.slice(to)}`;
}

function renderLines({ lines, seconds, loadAverage }: CapacityResult): string {
  const rows = lines.map((line) => [
    line.role,
    line.quantity,
    `${formatValue(line.value, line.unit)} ± ${formatValue(line.error, line.unit)}`,
    line.limit === null ? '–' : formatValue(line.limit, line.unit),
    line.limit === null ? '–' : line.over ? '**over**' : 'within',
    line.mechanism,
    line.remark,
  ]);
  const header = [
    'role',
    'quantity',
    'at the design size',
    'limit',
    'verdict',
    'carried by',
    'remark',
  ];
  const note = `Measured in ${seconds} s at a load average of ${loadAverage.toFixed(1)} before the run.`;
  return `${renderTable(header, rows)}\n\n${note}`;
}

function renderTerms({ lines }: CapacityResult): string {
  const rows = lines.flatMap((line) =>
    line.terms.map((term) => [
      line.role,
      line.quantity,
      term.name,
      `${formatValue(term.value, line.unit)} ± ${formatValue(term.error, line.unit)}`,
    ]),
  );
  return renderTable(['role', 'quantity', 'term', 'value'], rows);
}

function renderSlopes({ slopes }: CapacityResult): string {
  const rows = slopes.map(({ varied, role, quantity, unit, points, fit }) => [
    varied,
    role,
    quantity,
    points
      .map(({ size, value }) => `${formatNumber(size)}: ${formatValue(value, unit)}`)
      .join(', '),
    `${formatNumber(fit.slope)} ± ${formatNumber(fit.slopeError)} ${unit} each`,
    formatValue(fit.intercept, unit),
  ]);
  const header = ['varied', 'role', 'quantity', 'measured', 'slope and its error', 'constant part'];
  return renderTable(header, rows);
}

function renderConfigurations({ configurations }: CapacityResult): string {
  const rows = configurations.map((point) => [
    `${point.share * 100}%`,
    formatValue(point.documentBytes, 'bytes'),
    formatValue(point.compressedBytes, 'bytes'),
    formatValue(point.parseMs, 'ms'),
    formatValue(point.heapBytes, 'bytes'),
  ]);
  const header = ['share of the design size', 'document', 'compressed', 'parsing', 'memory kept'];
  return renderTable(header, rows);
}

function renderTable(header: string[], rows: string[][]): string {
  const lines = [header, header.map(() => '---'), ...rows];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

const KIB = 1_024;
const MIB = KIB * KIB;

/** Formats a value with its unit, rounded to three significant digits. */
export function formatValue(value: number, unit: string): string {
  if (unit === 'bytes' || unit === 'bytes/s') return formatBytes(value, unit);
  return `${formatNumber(value)} ${unit}`;
}

function formatBytes(value: number, unit: string): string {
  const suffix = unit === 'bytes/s' ? '/s' : '';
  if (Math.abs(value) >= MIB) return `${formatNumber(value / MIB)} MiB${suffix}`;
  if (Math.abs(value) >= KIB) return `${formatNumber(value / KIB)} KiB${suffix}`;
  return `${formatNumber(value)} B${suffix}`;
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(3)));
}
