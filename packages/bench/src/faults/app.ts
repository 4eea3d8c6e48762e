/**
 * `faults`: runs seeded fault schedules against fleets of real processes and checks the outcome of
 * each request against the engines' own records. Exits with 1 if a request ran twice, was lost, got a
 * wrong answer or was reported as not run although it ran.
 */
import { parseArgs } from 'node:util';
import { FaultMode } from './fault-kind.ts';
import { runSchedules } from './schedule-run.ts';
import type { ScheduleResult } from './schedule-run.ts';
import { addTally, createTally } from './schedule-tally.ts';

/** Entry of the `faults` command. */
export const faultsCommand = {
  name: 'faults',
  summary:
    'check run-once execution, answers and verdicts under faults  [--seed S] [--schedules N] [--first I] [--fleets F] [--json]',
  run: runFaults,
};

async function runFaults(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      schedules: { type: 'string', default: '300' },
      first: { type: 'string', default: '0' },
      fleets: { type: 'string', default: '4' },
      json: { type: 'boolean', default: false },
    },
  });
  const seed = Number(values.seed);
  const first = Number(values.first);
  const scheduleCount = Number(values.schedules);
  let startedSchedules = 0;
  const nextIndex = (): number | undefined => {
    if (startedSchedules >= scheduleCount) return undefined;
    startedSchedules += 1;
    return first + startedSchedules - 1;
  };
  const summary = new ScheduleSummary(seed, !values.json);
  const fleets = Math.min(Number(values.fleets), scheduleCount);
  const onResult = (result: ScheduleResult): void => summary.add(result);
  await Promise.all(
    Array.from({ length: fleets }, () => runSchedules({ seed, nextIndex, onResult })),
  );
  summary.print();
}

/** Adds up the results of all schedules and prints them. */
class ScheduleSummary {
  private readonly seed: number;
  private readonly verbose: boolean;
  private readonly total = createTally();
  private readonly faults = new Map<string, number>();
  private readonly modes = new Map<FaultMode, number>();
  private schedules = 0;

  constructor(seed: number, verbose: boolean) {
    this.seed = seed;
    this.verbose = verbose;
  }

  add({ schedule, tally, problems }: ScheduleResult): void {
    this.schedules += 1;
    addTally(this.total, tally);
    this.modes.set(schedule.mode, (this.modes.get(schedule.mode) ?? 0) + 1);
    for (const { kind } of schedule.faults) {
      this.faults.set(kind, (this.faults.get(kind) ?? 0) + 1);
    }
    problems.forEach((problem) => console.error(problem));
    if (!this.verbose) return;
    const kinds = schedule.faults.map(({ kind }) => kind).join('+');
    const { requests, runs, doubled, lost, wrongAnswer, falseNotRun, mayHaveRun } = tally;
    console.log(
      `schedule=${schedule.index} mode=${schedule.mode} faults=${kinds} requests=${requests} runs=${runs} ` +
        `doubled=${doubled} lost=${lost} wrong=${wrongAnswer} false_not_run=${falseNotRun} may_have_run=${mayHaveRun}`,
    );
  }

  print(): void {
    const { doubled, lost, wrongAnswer, falseNotRun } = this.total;
    console.log(
      JSON.stringify({
        seed: this.seed,
        schedules: this.schedules,
        modes: Object.fromEntries(this.modes),
        faults: Object.fromEntries(this.faults),
        ...this.total,
      }),
    );
    if (doubled + lost + wrongAnswer + falseNotRun > 0) process.exitCode = 1;
  }
}
