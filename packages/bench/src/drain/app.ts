/**
 * `drain`: measures the time from marking an endpoint as draining until its last new request, and counts
 * the calls that did not complete.
 */
import { parseArgs } from 'node:util';
import { callChat, CallOutcome, Random, sleep } from '@poplarpick/load';
import type { ChatResult } from '@poplarpick/load';
import { Fault, ServiceCondition } from '@poplarpick/stand-ins';
import { sidecarHostOf, ProcessFleet } from '../process-fleet/process-fleet.ts';

const MS_PER_SECOND = 1_000;
const CALLERS = 40;
const OUTPUT_TOKENS = 20;
const OBSERVATION_MS = 5_000;
const SAMPLE_PERIOD_MS = 10;

/** Measurements of one planned stop. */
interface StopResult {
  lastNewWorkSeconds: number;
  /** Calls of the run that did not complete. */
  cutInFlight: number;
  /** Time between the sidecar's log events `drain.marked` and `drain.done`. */
  doneSeconds: number;
}

/** Entry of the `drain` command. */
export const drainCommand = {
  name: 'drain',
  summary: 'time from a mark to the last new work  [--seed S] [--json]',
  run: runDrain,
};

async function runDrain(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: { seed: { type: 'string', default: '1' }, json: { type: 'boolean', default: false } },
  });
  const seed = Number(values.seed);
  const fleet = await ProcessFleet.start({ routers: 3, configurationProxies: true });
  try {
    const stops = await measureStops(fleet, new Random(seed));
    const results = Object.values(stops);
    const lastNewWorkSeconds = Math.max(...results.map((stop) => stop.lastNewWorkSeconds));
    const cutInFlight = results.reduce((sum, stop) => sum + stop.cutInFlight, 0);
    console.log(JSON.stringify({ seed, lastNewWorkSeconds, cutInFlight, stops }));
  } finally {
    await fleet.stop();
  }
}

async function measureStops(fleet: ProcessFleet, random: Random) {
  const { configuration } = fleet.site;
  const remainingEndpoints = new Set(fleet.site.modelEngines.keys());
  const pickEndpoint = (): string => {
    const name = random.pick([...remainingEndpoints]);
    remainingEndpoints.delete(name);
    return name;
  };
  const [first, second, third] = [pickEndpoint(), pickEndpoint(), pickEndpoint()];
  const byConfiguration = await measureStop(fleet, first, () =>
    fleet.site.publish({ revision: 2, plannedStops: [first] }),
  );
  configuration.condition = ServiceCondition.Down;
  const byHostList = await measureStop(fleet, second, () =>
    fleet.publishHostList([sidecarHostOf(second)]),
  );
  configuration.condition = ServiceCondition.Normal;
  const hostsWithoutService = [
    sidecarHostOf(third),
    ...fleet.routers.slice(1).map((router) => router.host),
  ];
  hostsWithoutService.forEach((host) => (fleet.configurationProxy(host).fault = Fault.Cut));
  const withMostCutOff = await measureStop(fleet, third, () =>
    fleet.site.publish({ revision: 3, plannedStops: [first, third] }),
  );
  return { byConfiguration, byHostList, withMostCutOff };
}

/** Marks an endpoint as draining under load and observes its engine for new requests. */
async function measureStop(
  fleet: ProcessFleet,
  endpoint: string,
  mark: () => void,
): Promise<StopResult> {
  const load = startLoad(fleet);
  await sleep(MS_PER_SECOND);
  const markedAt = performance.now();
  mark();
  let lastNewWorkMs = 0;
  let runs = countRuns(fleet, endpoint);
  while (performance.now() - markedAt < OBSERVATION_MS) {
    await sleep(SAMPLE_PERIOD_MS);
    const now = countRuns(fleet, endpoint);
    if (now > runs) lastNewWorkMs = performance.now() - markedAt;
    runs = now;
  }
  const { process } = fleet.findSidecar(endpoint);
  const marked = await process.waitFor('drain.marked');
  const done = await process.waitFor('drain.done');
  const results = await load.stop();
  return {
    lastNewWorkSeconds: lastNewWorkMs / MS_PER_SECOND,
    cutInFlight: results.filter(({ outcome }) => outcome !== CallOutcome.Complete).length,
    doneSeconds: (Date.parse(done['ts'] ?? '') - Date.parse(marked['ts'] ?? '')) / MS_PER_SECOND,
  };
}

function countRuns(fleet: ProcessFleet, endpoint: string): number {
  return fleet.site.modelEngines.get(endpoint)?.runs ?? 0;
}

/** Runs closed-loop callers that keep more calls open than the engines have slots. */
function startLoad(fleet: ProcessFleet): { stop: () => Promise<ChatResult[]> } {
  const { workspaces, model } = fleet.site.plan;
  const results: ChatResult[] = [];
  let isStopped = false;
  const callRepeatedly = async (caller: number): Promise<void> => {
    const url = fleet.routerUrls[caller % fleet.routerUrls.length] ?? '';
    const key = workspaces[caller % workspaces.length]?.key ?? '';
    while (!isStopped) {
      results.push(
        await callChat({ url, key, model, prompt: `lane ${caller}`, outputTokens: OUTPUT_TOKENS }),
      );
    }
  };
  const callers = Array.from({ length: CALLERS }, (_, caller) => callRepeatedly(caller));
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(callers);
      return results;
    },
  };
}
