/** Runs fault schedules one after the other on a dedicated fleet. */
import { KEY_GUARD_INTERVAL_MS } from '@poplarpick/decisions';
import { Random, sleep } from '@poplarpick/load';
import { planSite } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';
import { v7 as makeUuid } from 'uuid';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import { FaultInjector, clearProxyFaults } from './fault-injector.ts';
import { FaultKind, deriveSeed, planFaultSchedule } from './fault-kind.ts';
import type { FaultSchedule } from './fault-kind.ts';
import { CallKind, performCall } from './schedule-caller.ts';
import type { CallRecord, PlannedCall } from './schedule-caller.ts';
import { evaluateSchedule } from './schedule-tally.ts';
import type { ScheduleTally } from './schedule-tally.ts';

/** Result of one schedule. */
export interface ScheduleResult {
  schedule: FaultSchedule;
  tally: ScheduleTally;
  problems: string[];
}

/** Options of `runSchedules`. */
export interface RunSchedulesOptions {
  seed: number;
  /** Returns the index of the next schedule, or undefined when all have been started. */
  nextIndex: () => number | undefined;
  onResult: (result: ScheduleResult) => void;
}

const ROUTERS = 2;
const SIDECAR_GROUPS = 2;
const ENGINES_PER_KIND = 2;
const CALLS_PER_SCHEDULE = 14;
const MAX_CALL_START_MS = 900;
const APPLICATION_WORK_MS = 150;
const SETTLE_MS = 250;

/** Plans a site with two endpoints of each kind. */
export function planSmallSite(): SitePlan {
  const plan = planSite({ workspaces: 4, slotsPerEngine: 4 });
  const endpoints = plan.endpoints.filter(
    (line) =>
      plan.endpoints.filter(({ kind }) => kind === line.kind).indexOf(line) < ENGINES_PER_KIND,
  );
  const usedDataCentres = new Set(endpoints.map(({ dataCentre }) => dataCentre));
  return {
    ...plan,
    endpoints,
    dataCentres: plan.dataCentres.filter((name) => usedDataCentres.has(name)),
  };
}

/** Starts a fleet and runs schedules on it until `nextIndex` returns undefined. */
export async function runSchedules(options: RunSchedulesOptions): Promise<void> {
  const fleet = await ProcessFleet.start({
    plan: planSmallSite(),
    routers: ROUTERS,
    sidecarGroups: SIDECAR_GROUPS,
    site: { applicationWorkMs: APPLICATION_WORK_MS },
  });
  try {
    await sleep(KEY_GUARD_INTERVAL_MS);
    for (let index = options.nextIndex(); index !== undefined; index = options.nextIndex()) {
      options.onResult(
        await runSchedule(fleet, planFaultSchedule(options.seed, index), options.seed),
      );
    }
  } finally {
    await fleet.stop();
  }
}

async function runSchedule(
  fleet: ProcessFleet,
  schedule: FaultSchedule,
  seed: number,
): Promise<ScheduleResult> {
  const callersDisconnected = new AbortController();
  const injector = new FaultInjector(fleet, () => callersDisconnected.abort());
  const options = {
    plan: fleet.site.plan,
    urls: fleet.routerUrls,
    signal: callersDisconnected.signal,
  };
  const calls = planCalls(seed, schedule.index);
  const [records] = await Promise.all([
    Promise.all(calls.map((call) => performCall(call, options))),
    ...schedule.faults.map((fault) => injector.runFault(fault)),
  ]);
  clearProxyFaults(fleet);
  await injector.restartExitedProcesses();
  // A restarted sidecar refuses idempotency keys created less than the guard interval after its start,
  // which would fail the keyed calls of the next schedule.
  const isSidecarRestarted = schedule.faults.some(({ kind }) => kind === FaultKind.KillSidecar);
  await sleep(isSidecarRestarted ? KEY_GUARD_INTERVAL_MS : SETTLE_MS);
  const problems: string[] = [];
  const tally = evaluateSchedule(fleet.site, schedule, records, (problem, record) =>
    problems.push(describeProblem(problem, schedule, record)),
  );
  return { schedule, tally, problems };
}

function planCalls(seed: number, index: number): PlannedCall[] {
  const random = new Random(deriveSeed(-seed, index));
  const kinds = Object.values(CallKind);
  return Array.from({ length: CALLS_PER_SCHEDULE }, (_, position) => {
    const kind = kinds[position % kinds.length] ?? CallKind.Chat;
    const isKeyed = kind === CallKind.KeyedChat || kind === CallKind.KeyedNonIdempotent;
    const startMs = random.integer(MAX_CALL_START_MS);
    return {
      kind,
      name: `${seed}-${index}-${position}`,
      startMs,
      outputTokens: 10 + random.integer(50),
      router: random.integer(ROUTERS),
      workspace: random.integer(4),
      key: isKeyed ? makeUuid({ msecs: Date.now() + startMs }) : undefined,
    };
  });
}

function describeProblem(problem: string, schedule: FaultSchedule, record: CallRecord): string {
  const faults = schedule.faults.map(
    ({ kind, startMs, durationMs }) => `${kind}@${startMs}+${durationMs}`,
  );
  return `${problem} schedule=${schedule.index} faults=${faults.join(',')} ${JSON.stringify(record)}`;
}
