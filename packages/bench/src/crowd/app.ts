/**
 * `crowd`: plays crowds that are made from seeds against a router process, with ordinary callers beside them. Prints how
 * the ordinary requests ended and what the process held; exits with 1 if a process ended or went over a bound of its host,
 * or if a request that was promised not to run has run.
 */
import { parseArgs } from 'node:util';
import { sleep } from '@poplarpick/load';
import { generateCrowd } from './crowd-generator.ts';
import { CrowdPlayer } from './crowd-player.ts';
import { OrdinaryLoad } from './ordinary-load.ts';
import { ProcessGauge } from './process-gauge.ts';
import { callHead, RouterListener, RouterSite } from './router-site.ts';

/** Entry of the `crowd` command. */
export const crowdCommand = {
  name: 'crowd',
  summary:
    'generated crowds against a router, with ordinary callers beside them  [--seed N] [--seeds N] [--rate N] [--memory MB] [--router CHECKOUT]',
  run: runCrowds,
};

/** Time for which the ordinary callers go on after the crowd has done what it can, in ms. */
const AFTERWARDS_MS = 3_000;
const DESCRIPTORS = 700;
const BODY = 'a'.repeat(2_000);

async function runCrowds(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '1' },
      rate: { type: 'string', default: '20' },
      memory: { type: 'string', default: '256' },
      router: { type: 'string', default: '.' },
    },
  });
  const first = Number(values.seed);
  for (let seed = first; seed < first + Number(values.seeds); seed += 1) {
    await playSeed(seed, Number(values.rate), Number(values.memory), values.router);
  }
}

async function playSeed(
  seed: number,
  perSecond: number,
  memoryMb: number,
  checkout: string,
): Promise<void> {
  const crowd = generateCrowd(seed);
  const site = await RouterSite.start({ limits: { memoryMb, maxFds: DESCRIPTORS }, checkout });
  const target = site.target(RouterListener.Callers);
  const gauge = ProcessGauge.start(site.pid ?? 0);
  const hasRun = (id: string): boolean => site.hasRun(id);
  const head = callHead('/once/ordinary');
  const load = OrdinaryLoad.start({ target, head, body: BODY, perSecond, hasRun });
  const player = new CrowdPlayer(crowd, target);
  await player.play();
  await sleep(AFTERWARDS_MS);
  const ordinary = await load.stop();
  const { peak } = gauge;
  const isAlive = site.pid !== undefined;
  console.log(JSON.stringify({ seed, crowd: crowd.description, isAlive, ...peak, ...ordinary }));
  const isWithin = peak.memoryMb < memoryMb && peak.descriptors < DESCRIPTORS;
  if (!isAlive || !isWithin || ordinary.brokenPromises > 0) process.exitCode = 1;
  gauge.stop();
  player.stop();
  await site.stop();
}
