/** Runs a scenario against fleets of real processes, several times with different seeds. */
import { readFileSync } from 'node:fs';
import { EndpointKind, parseToml } from '@poplarpick/decisions';
import { buildChatBody, runLoad, scenarioSchema, computeSpread } from '@poplarpick/load';
import type { LoadResult, LoadTarget, Scenario, Spread } from '@poplarpick/load';
import { expectedAnswer, planSite, SiteSize } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import { measureNodeRates } from '../capacity/node-rates.ts';
import type { NodeRates } from '../capacity/node-rates.ts';
import { runFaultTimeline } from './fault-timeline.ts';

/** Result of one run. */
export interface ExperimentRun {
  seed: number;
  load: LoadResult;
  /** Non-idempotent calls that ran more than once. */
  doubled: number;
  router: NodeRates;
  sidecar: NodeRates;
}

/** Results of all runs of a scenario. */
export interface ExperimentResult {
  name: string;
  scenario: Scenario;
  runs: ExperimentRun[];
  /** Median and spread over the runs, by measure name. */
  measures: Record<string, Spread>;
}

/** Reads a scenario file. Throws `ConfigurationError` if it is invalid. */
export function readScenario(file: string): Scenario {
  return parseToml(readFileSync(file, 'utf8'), scenarioSchema, file);
}

/** Runs a scenario `count` times. Each run starts its own fleet and uses the next seed. */
export async function runExperiment(scenario: Scenario, count: number): Promise<ExperimentResult> {
  const runs: ExperimentRun[] = [];
  for (let index = 0; index < count; index += 1)
    runs.push(await runWithSeed(scenario, scenario.seed + index));
  return { name: scenario.name, scenario, runs, measures: summarizeRuns(runs) };
}

async function runWithSeed(scenario: Scenario, seed: number): Promise<ExperimentRun> {
  const { routers, step_ms } = scenario.fleet ?? { routers: 2, step_ms: 10 };
  const fleet = await ProcessFleet.start({
    plan: planSiteOfScenario(scenario),
    site: { engineDefaults: { pace: { baseStepMs: step_ms } } },
    routers,
  });
  try {
    const target = createLoadTarget(fleet);
    let load: Promise<LoadResult> | undefined;
    const runLoadOnce = async (): Promise<void> => {
      load ??= runLoad({ load: scenario.load, seed, target });
      await load;
    };
    // Faults may replace processes, whose rates over the whole run are then unknown; rates are left out.
    const isUndisturbed = scenario.faults.length === 0;
    const [router, sidecar] = await Promise.all([
      measureNodeRates(fleet, isUndisturbed ? fleet.routers : [], runLoadOnce),
      measureNodeRates(fleet, isUndisturbed ? fleet.sidecars : [], runLoadOnce),
      runFaultTimeline(fleet, scenario.faults),
    ]);
    const result = await requireLoadResult(load);
    const doubled = [...fleet.site.countRuns().values()].filter((times) => times > 1).length;
    return { seed, load: result, doubled, router, sidecar };
  } finally {
    await fleet.stop();
  }
}

async function requireLoadResult(load: Promise<LoadResult> | undefined): Promise<LoadResult> {
  if (load === undefined) throw new Error('no load was run');
  return load;
}

function planSiteOfScenario({ fleet }: Scenario): SitePlan {
  const size = fleet?.site === 'trinacria' ? SiteSize.Trinacria : SiteSize.Izvor;
  const plan = planSite({ size, workspaces: fleet?.workspaces ?? 16 });
  if (fleet?.sidecars === undefined) return plan;
  const [template] = plan.endpoints;
  if (template === undefined) return plan;
  const applications = plan.endpoints.filter((line) => line.kind === EndpointKind.Application);
  const models = Array.from({ length: fleet.sidecars }, (_, index) => ({
    ...template,
    name: `model-${index + 1}`,
    dataCentre: plan.dataCentres[index % plan.dataCentres.length] ?? '',
  }));
  return { ...plan, endpoints: [...models, ...applications] };
}

/** Describes a fleet as the target of a load, with a check of each answer against the expected one. */
export function createLoadTarget(fleet: ProcessFleet): LoadTarget {
  const { model, service, nonIdempotentPath, workspaces } = fleet.site.plan;
  return {
    routers: fleet.routerUrls,
    model,
    workspaces,
    nonIdempotentCall: { service, path: nonIdempotentPath },
    isExpectedAnswer: (call, text) => text === expectedAnswer(buildChatBody(call)),
  };
}

/** Computes the median and spread of each measure over the runs. */
export function summarizeRuns(runs: readonly ExperimentRun[]): Record<string, Spread> {
  const measures: Record<string, (run: ExperimentRun) => number> = {
    'first token p50 ms': ({ load }) => load.firstTokenMs.p50,
    'first token p95 ms': ({ load }) => load.firstTokenMs.p95,
    'first token p99 ms': ({ load }) => load.firstTokenMs.p99,
    'token gap p95 ms': ({ load }) => load.tokenGapMs.p95,
    'token gap p99 ms': ({ load }) => load.tokenGapMs.p99,
    'tokens/s': ({ load }) => load.tokensPerSecond,
    'router cores': ({ router }) => router.cpu,
    'router control B/s': ({ router }) => router.controlBytes,
    'sidecar cores': ({ sidecar }) => sidecar.cpu,
    'sidecar control B/s': ({ sidecar }) => sidecar.controlBytes,
    refused: ({ load }) => load.refused,
    failed: ({ load }) => load.failed,
    lost: ({ load }) => load.lost,
    wrong: ({ load }) => load.wrong,
    doubled: ({ doubled }) => doubled,
  };
  return Object.fromEntries(
    Object.entries(measures).map(([name, read]) => [name, computeSpread(runs.map(read))]),
  );
}
