/** Renders the result of an experiment as one HTML page with plots. */
import { renderPage } from '@poplarpick/cli/plots/render-plot';
import type { Plot } from '@poplarpick/cli/plots/render-plot';
import type { TopLevelSpec } from 'vega-lite';
import type { ExperimentResult } from './experiment.ts';

const PLOT_WIDTH = 480;
const PLOT_HEIGHT = 240;
const PERCENTILES = ['p50', 'p95', 'p99', 'max'] as const;

/** Renders the page. */
export async function renderExperiment(result: ExperimentResult): Promise<string> {
  const { scenario, runs, measures } = result;
  const rows = Object.entries(measures).map(([name, spread]) => [
    name,
    '',
    ...[spread.median, spread.least, spread.most].map((value) => String(round(value))),
  ]);
  const [first] = runs;
  return renderPage({
    title: `Experiment ${scenario.name}`,
    summary:
      `${runs.length} runs from seed ${scenario.seed}; ${scenario.load.rate} requests/s for ` +
      `${scenario.load.duration_s} s, ${scenario.faults.length} faults. ` +
      `Sent in the first run: ${first?.load.sent ?? 0}.`,
    plots: [
      plotDelays(
        'Time to the first token',
        result,
        'firstTokenMs',
        'From the time a request was due.',
      ),
      plotDelays('Longest time between two tokens', result, 'tokenGapMs', 'Of each answer.'),
      plotWorkspaces(result),
    ],
    table: [['measure', '', 'median', 'least', 'most'], ...rows],
  });
}

function plotDelays(
  title: string,
  { runs }: ExperimentResult,
  key: 'firstTokenMs' | 'tokenGapMs',
  caption: string,
): Plot {
  const values = runs.flatMap(({ seed, load }) =>
    PERCENTILES.map((percentile) => ({
      percentile,
      ms: Math.max(0.01, load[key][percentile]),
      run: `seed ${seed}`,
    })),
  );
  const spec = {
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
    data: { values },
    mark: { type: 'line', point: true, strokeWidth: 2 },
    encoding: {
      x: { field: 'percentile', type: 'ordinal', sort: null, title: null, axis: { labelAngle: 0 } },
      y: { field: 'ms', type: 'quantitative', title: 'milliseconds', scale: { type: 'log' } },
      color: { field: 'run', type: 'nominal' },
    },
  } as TopLevelSpec;
  return { title, caption, spec };
}

function plotWorkspaces({ runs }: ExperimentResult): Plot {
  const values = runs.flatMap(({ seed, load }) =>
    Object.entries(load.tokensByWorkspace).map(([workspace, tokens]) => ({
      workspace,
      rate: tokens / load.seconds,
      run: `seed ${seed}`,
    })),
  );
  const spec = {
    width: PLOT_WIDTH - 60,
    height: { step: 16 },
    data: { values },
    mark: { type: 'point', filled: true, size: 60 },
    encoding: {
      x: { field: 'rate', type: 'quantitative', title: 'tokens/s received' },
      y: { field: 'workspace', type: 'nominal', title: null },
      color: { field: 'run', type: 'nominal' },
    },
  } as TopLevelSpec;
  return { title: 'Service of each workspace', caption: 'Mean over the run.', spec };
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}
