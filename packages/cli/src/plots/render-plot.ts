/** Renders plots to SVG without a browser, and self-contained HTML pages with plots and a table. */
import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';

/** Vega-Lite plot with its title and caption. */
export interface Plot {
  title: string;
  /** Text below the plot that explains how to read it. */
  caption: string;
  spec: TopLevelSpec;
}

/** Content of an HTML page with plots. */
export interface PlotPage {
  title: string;
  /** Paragraph below the title. */
  summary: string;
  plots: Plot[];
  /** Rows of the table below the plots; the first row is the header. No rows omit the table. */
  table: string[][];
}

/** Colours that also differ in lightness, to stay distinguishable in print and to colour-blind readers. */
export const PLOT_COLOURS = ['#1b4f72', '#d35400', '#1e8449', '#8e44ad'];

const PLOT_CONFIG = {
  background: 'white',
  font: 'sans-serif',
  axis: { labelFontSize: 12, titleFontSize: 12, gridColor: '#e5e7eb', titleFontWeight: 'normal' },
  legend: { labelFontSize: 12, titleFontSize: 12, orient: 'top', title: null },
  view: { stroke: null },
  range: { category: PLOT_COLOURS },
} as const;

/** Renders a plot to SVG. */
export async function renderPlot(plot: Plot): Promise<string> {
  const { spec } = compile({ ...plot.spec, config: PLOT_CONFIG } as TopLevelSpec);
  const view = new View(parse(spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}

/** Renders an HTML page with inline plots and styles, which loads no other files. */
export async function renderPage(page: PlotPage): Promise<string> {
  const figures: string[] = [];
  for (const plot of page.plots) {
    const svg = await renderPlot(plot);
    figures.push(
      `<figure><h2>${escapeHtml(plot.title)}</h2>${svg}<figcaption>${escapeHtml(plot.caption)}</figcaption></figure>`,
    );
  }
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>${escapeHtml(page.title)}</title>
<style>${STYLE}</style>
</head>
<body>
<h1>${escapeHtml(page.title)}</h1>
<p>${escapeHtml(page.summary)}</p>
<div class="plots">${figures.join('\n')}</div>
${renderTable(page.table)}
</body>
</html>
`;
}

const STYLE = `
body { font: 15px/1.5 sans-serif; color: #1f2937; background: white; margin: 2rem auto; max-width: 74rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.05rem; margin: 0 0 .4rem; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(34rem, 1fr)); gap: 1.5rem; }
figure { margin: 0; padding: 1rem; border: 1px solid #e5e7eb; border-radius: 6px; }
figure svg { max-width: 100%; height: auto; } figcaption { color: #4b5563; font-size: .9rem; }
table { border-collapse: collapse; margin-top: 2rem; font-size: .9rem; }
th, td { text-align: right; padding: .25rem .7rem; border-bottom: 1px solid #e5e7eb; }
th { border-bottom: 2px solid #9ca3af; } th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
tr.page td { background: #fdecea; } tr.ticket td { background: #fff7e0; }
`;

function renderTable([head, ...rows]: string[][]): string {
  if (head === undefined) return '';
  const renderCells = (row: string[], tag: string): string =>
    row.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('');
  const body = rows
    .map((row) => `<tr class="${findAlertClass(row)}">${renderCells(row, 'td')}</tr>`)
    .join('\n');
  return `<table><thead><tr>${renderCells(head, 'th')}</tr></thead><tbody>\n${body}\n</tbody></table>`;
}

/** CSS class of a row: the name of the alert that it contains, if any. */
function findAlertClass(row: string[]): string {
  return row.find((cell) => cell === 'page' || cell === 'ticket') ?? '';
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
