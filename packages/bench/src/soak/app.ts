/**
 * `soak`: runs an hour of a small site's load in a shorter time. Request rate and engine speed are raised
 * by the same factor, except that an engine step takes at least `MIN_STEP_MS`, and a fault is injected
 * every few seconds. Exits with 1 if a request was lost, ran twice or got a wrong answer. Reports the
 * growth of memory, which must stay flat but does not affect the exit code.
 */
import { parseArgs } from 'node:util';
import { FaultKind, fitLine, Random, runLoad, scenarioSchema, sleep, sum } from '@poplarpick/load';
import type { LineFit, LoadResult, ScenarioFault } from '@poplarpick/load';
import { planSite, SiteSize } from '@poplarpick/stand-ins';
import { readProcessUsage } from '../capacity/process-usage.ts';
import { injectFault } from '../experiment/fault-timeline.ts';
import { createLoadTarget } from '../experiment/experiment.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

const HOUR_SECONDS = 3_600;
const MS_PER_SECOND = 1_000;

/** Requests per second of the site in real time. */
const SITE_REQUESTS_PER_SECOND = 0.6;

/** Step time of an engine in real time. */
const SITE_STEP_MS = 40;
const MIN_STEP_MS = 2;
const FAULT_PERIOD_MS = 4_000;
const MAX_FAULT_SECONDS = 3;
const SAMPLE_PERIOD_MS = 500;

/** Share of the run after which memory is expected to be flat. */
const WARM_UP_SHARE = 0.4;
const MIB = 1_048_576;

/** Entry of the `soak` command. */
export const soakCommand = {
  name: 'soak',
  summary: 'an hour of a small site at a faster pace, with faults  [--seconds N] [--seed N]',
  run: runSoak,
};

interface MemorySample {
  at: number;
  /** Mean anonymous memory of the processes that are never replaced. */
  mib: number;
}

async function runSoak(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      seconds: { type: 'string', default: '90' },
      seed: { type: 'string', default: '1' },
    },
  });
  const seconds = Number(values.seconds);
  const pace = HOUR_SECONDS / seconds;
  const fleet = await ProcessFleet.start({
    plan: planSite({ size: SiteSize.Izvor }),
    site: { engineDefaults: { pace: { baseStepMs: Math.max(MIN_STEP_MS, SITE_STEP_MS / pace) } } },
    routers: 2,
  });
  try {
    const result = await runSoakLoad(fleet, Number(values.seed), seconds, pace);
    console.table(result.load);
    console.log(JSON.stringify(result));
    if (result.load.lost + result.load.wrong + result.doubled > 0) process.exitCode = 1;
  } finally {
    await fleet.stop();
  }
}

interface SoakResult {
  pace: number;
  seconds: number;
  seed: number;
  faults: Record<string, number>;
  load: LoadResult;
  doubled: number;
  /** Growth of the anonymous memory of processes that are never replaced, per hour of the site's load. */
  memory: { samples: number; mibPerSiteHour: number; error: number; lastMib: number };
}

async function runSoakLoad(
  fleet: ProcessFleet,
  seed: number,
  seconds: number,
  pace: number,
): Promise<SoakResult> {
  const { load } = scenarioSchema.parse({
    name: 'soak',
    load: { rate: SITE_REQUESTS_PER_SECOND * pace, duration_s: seconds, once_share: 0.2 },
  });
  const samples: MemorySample[] = [];
  const samplingTimer = setInterval(() => samples.push(sampleMemory(fleet)), SAMPLE_PERIOD_MS);
  const stop = new AbortController();
  const faults = injectFaults(fleet, new Random(seed), stop.signal);
  const result = await runLoad({ load, seed, target: createLoadTarget(fleet) });
  stop.abort();
  clearInterval(samplingTimer);
  const doubled = [...fleet.site.countRuns().values()].filter((times) => times > 1).length;
  const memory = summarizeMemory(samples, pace);
  return { pace, seconds, seed, faults: await faults, load: result, doubled, memory };
}

/** Kills sidecars and disturbs routers' links at random; returns the number of faults by kind. */
async function injectFaults(
  fleet: ProcessFleet,
  random: Random,
  signal: AbortSignal,
): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  while (!signal.aborted) {
    await sleep(FAULT_PERIOD_MS);
    if (signal.aborted) break;
    const fault = pickFault(random, fleet);
    await injectFault(fleet, fault);
    counts[fault.kind] = (counts[fault.kind] ?? 0) + 1;
  }
  return counts;
}

function pickFault(random: Random, fleet: ProcessFleet): ScenarioFault {
  const kind = random.pick(SOAK_FAULTS);
  // The first sidecar is never replaced, so that its memory is measured over the whole run.
  const target =
    kind === FaultKind.KillSidecar
      ? 1 + random.integer(fleet.sidecars.length - 1)
      : random.integer(fleet.routers.length);
  return { at_s: 0, kind, target, duration_s: 0.5 + random.uniform() * MAX_FAULT_SECONDS };
}

/** Excludes router restarts: routers' memory is measured, and callers' connections would break. */
const SOAK_FAULTS = [
  FaultKind.KillSidecar,
  FaultKind.HalfOpenLinks,
  FaultKind.ResetLinks,
  FaultKind.SilentLinks,
  FaultKind.SlowLinks,
];

function sampleMemory(fleet: ProcessFleet): MemorySample {
  const [sidecar] = fleet.sidecars;
  const neverReplaced = [...fleet.routers, ...(sidecar === undefined ? [] : [sidecar])];
  const bytes = neverReplaced.map(({ process }) => readProcessUsage(process.pid).anonBytes);
  const mean = sum(bytes) / bytes.length;
  return { at: performance.now(), mib: mean / MIB };
}

function summarizeMemory(samples: readonly MemorySample[], pace: number): SoakResult['memory'] {
  const samplesAfterWarmUp = samples.slice(Math.floor(samples.length * WARM_UP_SHARE));
  const fit: LineFit = fitLine(
    samplesAfterWarmUp.map(({ at, mib }) => ({
      x: (at / MS_PER_SECOND / HOUR_SECONDS) * pace,
      y: mib,
    })),
  );
  return {
    samples: samplesAfterWarmUp.length,
    mibPerSiteHour: fit.slope,
    error: fit.slopeError,
    lastMib: samplesAfterWarmUp.at(-1)?.mib ?? 0,
  };
}
