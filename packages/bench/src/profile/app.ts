/** `profile`: records CPU profiles of a router and a sidecar under load and lists their hottest functions. */
import { mkdtempSync, readdirSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { callChat, Random, runOpenLoop } from '@poplarpick/load';
import { planModelSite } from '../capacity/model-site.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import { listHotFunctions } from './cpu-profile.ts';
import type { CpuProfile } from './cpu-profile.ts';

const SIDECARS = 4;
const LISTED_FUNCTIONS = 25;
const MS_PER_SECOND = 1_000;
const STEP_MS = 5;

/** Entry of the `profile` command. */
export const profileCommand = {
  name: 'profile',
  summary: 'CPU profiles under a load of tokens  [--rate N] [--tokens N] [--seconds N]',
  run: runProfile,
};

async function runProfile(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      rate: { type: 'string', default: '40' },
      tokens: { type: 'string', default: '100' },
      seconds: { type: 'string', default: '8' },
    },
  });
  const folder = mkdtempSync(join(tmpdir(), 'poplarpick-profile-'));
  const fleet = await ProcessFleet.start({
    plan: planModelSite({ sidecars: SIDECARS, slots: 32 }),
    site: { engineDefaults: { pace: { baseStepMs: STEP_MS, perSequenceMs: 0.05 } } },
    routers: 1,
    nodeOptions: ['--cpu-prof', `--cpu-prof-dir=${folder}`],
  });
  const roles = new Map([
    ...fleet.routers.map(({ process }) => [process.pid, 'router'] as const),
    ...fleet.sidecars.map(({ process }) => [process.pid, 'sidecar'] as const),
  ]);
  try {
    await sendLoad(fleet, Number(values.rate), Number(values.tokens), Number(values.seconds));
    // Node.js writes the profile only when the process exits normally.
    for (const { process } of [...fleet.routers, ...fleet.sidecars]) {
      process.signal('SIGTERM');
      await process.exited;
    }
  } finally {
    await fleet.stop();
  }
  for (const role of ['router', 'sidecar']) printProfile(folder, role, roles);
  console.log(JSON.stringify({ folder }));
}

async function sendLoad(
  fleet: ProcessFleet,
  rate: number,
  outputTokens: number,
  seconds: number,
): Promise<void> {
  const { model, workspaces } = fleet.site.plan;
  const random = new Random(1);
  const send = async (): Promise<void> => {
    const { key } = random.pick(workspaces);
    const url = random.pick(fleet.routerUrls);
    await callChat({ url, key, model, prompt: 'hello', outputTokens });
  };
  await runOpenLoop({ rate, durationMs: seconds * MS_PER_SECOND, random, send });
}

/** Prints the hottest functions of the first process of a role. */
function printProfile(folder: string, role: string, roles: ReadonlyMap<number, string>): void {
  const file = readdirSync(folder).find((name) => roles.get(Number(name.split('.')[3])) === role);
  if (file === undefined) return;
  const profile = JSON.parse(readFileSync(join(folder, file), 'utf8')) as CpuProfile;
  console.log(role);
  console.table(listHotFunctions(profile).slice(0, LISTED_FUNCTIONS));
}
