/**
 * The `forwarding` command: measures the processor time that platform routers spend per call and per stream
 * event, with real router processes between callers and stand-in engines.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Random, runOpenLoop, sum } from '@poplarpick/load';
import { listHotFunctions } from '../profile/cpu-profile.ts';
import type { CpuProfile } from '../profile/cpu-profile.ts';
import { readProcessUsage } from '../capacity/process-usage.ts';
import { callStream } from './stream-caller.ts';
import { PlatformSite } from '../platform-site/platform-site.ts';

const SECOND_MS = 1_000;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1_000_000;
const PROFILE_ROWS = 40;
const ENGINES = 6;

/** Entry of the `forwarding` command. */
export const forwardingCommand = {
  name: 'forwarding',
  summary:
    'processor time of routers on the platform  [--routers N] [--rate N] [--events N] [--tokens-per-second N] [--seconds N] [--profile]',
  run: runForwarding,
};

async function runForwarding(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      routers: { type: 'string', default: '2' },
      rate: { type: 'string', default: '100' },
      'tokens-per-second': { type: 'string', default: '10000000' },
      events: { type: 'string', default: '50' },
      seconds: { type: 'string', default: '10' },
      profile: { type: 'boolean', default: false },
    },
  });
  const site = await PlatformSite.start({
    routers: Number(values.routers),
    engines: ENGINES,
    events: Number(values.events),
    tokensPerSecond: Number(values['tokens-per-second']),
    isProfiled: values.profile,
  });
  try {
    await measureCpuTime(site, Number(values.rate), Number(values.seconds));
    if (values.profile) await site.stopRouters();
  } finally {
    await site.stop();
  }
  if (values.profile) printProfile(site.profileFolder);
}

async function measureCpuTime(site: PlatformSite, rate: number, seconds: number): Promise<void> {
  const random = new Random(1);
  const totals = { calls: 0, events: 0, refused: 0, failed: 0 };
  const send = async (): Promise<void> => {
    const result = await callStream({ address: random.pick(site.callerAddresses), random });
    totals.calls += 1;
    totals.events += result.eventCount;
    if (result.status === 200) return;
    if (result.status === 429 || result.status === 503) totals.refused += 1;
    else totals.failed += 1;
  };
  await runOpenLoop({ rate, durationMs: SECOND_MS, random, send });
  const before = site.routerPids.map((pid) => readProcessUsage(pid).cpuSeconds);
  Object.assign(totals, { calls: 0, events: 0, refused: 0, failed: 0 });
  const startedAt = performance.now();
  await runOpenLoop({ rate, durationMs: seconds * SECOND_MS, random, send });
  const elapsedSeconds = (performance.now() - startedAt) / SECOND_MS;
  const cpuSecondsByRouter = site.routerPids.map(
    (pid, index) => readProcessUsage(pid).cpuSeconds - (before[index] ?? 0),
  );
  const cpuSeconds = sum(cpuSecondsByRouter);
  console.log(
    JSON.stringify({
      ...totals,
      coresEach: round(cpuSeconds / elapsedSeconds / site.routerPids.length),
      msPerCall: round((cpuSeconds * MS_PER_SECOND) / totals.calls),
      usPerEvent: round((cpuSeconds * US_PER_SECOND) / totals.events),
    }),
  );
}

function printProfile(folder: string): void {
  const [file] = readdirSync(folder);
  if (file === undefined) return;
  const profile = JSON.parse(readFileSync(join(folder, file), 'utf8')) as CpuProfile;
  console.table(listHotFunctions(profile).slice(0, PROFILE_ROWS));
}

function round(value: number): number {
  return Number(value.toFixed(3));
}
