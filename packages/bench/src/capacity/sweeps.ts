/** Sweeps: each measures the resource use of a fleet's processes at four sizes or more. */
import { callChat, Random, runOpenLoop, sleep } from '@poplarpick/load';
import type { ChatCall } from '@poplarpick/load';
import { SitePreset, renderConfiguration } from '@poplarpick/stand-ins';
import type { ProcessFleet } from '../process-fleet/process-fleet.ts';
import { measureNodeRates } from './node-rates.ts';
import type { NodeRates } from './node-rates.ts';
import { withFleet } from './model-site.ts';

/** Names of the sweeps. */
export enum SweepName {
  /** Idle fleet with one router; varies the number of sidecars. */
  Sidecars = 'sidecars',
  /** Idle fleet with four sidecars; varies the number of routers. */
  Routers = 'routers',
  /** Varies the rate of short requests. */
  Requests = 'requests',
  /** Varies the length of the answers at a constant request rate. */
  Tokens = 'tokens',
  /** Varies the number of workspaces that are always backlogged. */
  Backlog = 'backlog',
  /** Idle fleet without sidecars; varies the number of routers that are linked to each other. */
  Neighbours = 'neighbours',
  /** Varies the size of the configuration document; the values are the cost of one change. */
  Changes = 'changes',
}

/** Measurements at one size. */
export interface SweepPoint {
  /** Value of the varied quantity. */
  size: number;
  /** Mean rates of the routers. */
  router: NodeRates;
  /** Mean rates of the sidecars. */
  sidecar: NodeRates;
  /** Milliseconds until a new revision was in force in all processes. */
  changeMs?: number;
  serviceCallsPerSecond?: number;
  /** Requests without a complete answer. */
  failed?: number;
}

/** One sweep. */
export interface Sweep {
  name: SweepName;
  /** Description of the varied quantity, with its unit. */
  varied: string;
  points: SweepPoint[];
}

/** Point of a load sweep with the request rate that was reached. */
type LoadPoint = Omit<SweepPoint, 'size'> & { requestsPerSecond: number };

/** Sidecars over which the requests of the load sweeps are spread. */
export const LOAD_SIDECARS = 8;

const SETTLE_MS = 1_500;
const MEASURE_MS = 4_000;
const LOAD_MS = 4_000;
const SHORT_ANSWER_TOKENS = 4;
const TOKEN_SWEEP_RATE = 25;
const BACKLOG_TOKENS = 40;
const BACKLOG_DEPTH = 3;
const SEED = 5;
const CHANGES_PER_POINT = 4;
const CHANGE_PERIOD_MS = 1_000;
const PRESETS = [SitePreset.Peak, SitePreset.Ordinary];

/** Measures an idle router by the number of its sidecars. */
export async function sweepSidecars(sizes = [4, 8, 16, 32]): Promise<Sweep> {
  const points: SweepPoint[] = [];
  for (const size of sizes) {
    points.push(
      await withFleet({ routers: 1, sidecars: size }, (fleet) => measureIdle(fleet, size)),
    );
  }
  return { name: SweepName.Sidecars, varied: 'sidecars linked to one router', points };
}

/** Measures idle routers and sidecars by the number of routers. */
export async function sweepRouters(sizes = [1, 2, 4, 8]): Promise<Sweep> {
  const points: SweepPoint[] = [];
  for (const size of sizes) {
    points.push(
      await withFleet({ routers: size, sidecars: 4 }, (fleet) => measureIdle(fleet, size)),
    );
  }
  return { name: SweepName.Routers, varied: 'routers linked to four sidecars', points };
}

/** Measures an idle router by the number of routers that it is linked to. */
export async function sweepNeighbours(sizes = [1, 2, 4, 7]): Promise<Sweep> {
  const points: SweepPoint[] = [];
  for (const routers of sizes) {
    const measure = async (fleet: ProcessFleet): Promise<SweepPoint> => {
      await sleep(SETTLE_MS);
      const rates = await measureRoles(fleet, () => sleep(MEASURE_MS));
      return { size: routers - 1, ...rates };
    };
    points.push(await withFleet({ routers, sidecars: 0 }, measure));
  }
  return { name: SweepName.Neighbours, varied: 'routers linked to a router', points };
}

/** Measures the cost of one configuration change on a node by the size of the document. */
export async function sweepChanges(workspaces = [100, 500, 1_500, 3_000]): Promise<Sweep> {
  const points: SweepPoint[] = [];
  for (const count of workspaces) {
    const scale = { routers: 2, sidecars: 2, workspaces: count };
    points.push(await withFleet(scale, measureChangeCost));
  }
  return { name: SweepName.Changes, varied: 'bytes of the configuration document', points };
}

async function measureChangeCost(fleet: ProcessFleet): Promise<SweepPoint> {
  await sleep(SETTLE_MS);
  const idle = await measureRoles(fleet, () => sleep(CHANGES_PER_POINT * CHANGE_PERIOD_MS));
  const times: number[] = [];
  const busy = await measureRoles(fleet, async () => {
    for (let index = 0; index < CHANGES_PER_POINT; index += 1) {
      const startedAt = performance.now();
      times.push(await measurePropagationTime(fleet, 2 + index, PRESETS[index % PRESETS.length]));
      await sleep(Math.max(0, CHANGE_PERIOD_MS - (performance.now() - startedAt)));
    }
  });
  const { plan } = fleet.site;
  const text = renderConfiguration(plan, { revision: 1 });
  return {
    size: Buffer.byteLength(text),
    router: computeCostPerChange(idle.router, busy.router),
    sidecar: computeCostPerChange(idle.sidecar, busy.sidecar),
    changeMs: Math.max(...times),
  };
}

/** Computes the cost of one change: the increase over the idle rates times the change period. */
function computeCostPerChange(idle: NodeRates, busy: NodeRates): NodeRates {
  const seconds = CHANGE_PERIOD_MS / 1_000;
  return {
    cpu: (busy.cpu - idle.cpu) * seconds,
    rssBytes: busy.rssBytes,
    anonBytes: busy.anonBytes,
    controlBytes: (busy.controlBytes - idle.controlBytes) * seconds,
    controlMessages: (busy.controlMessages - idle.controlMessages) * seconds,
  };
}

/** Measures one fleet by requests per second, then by tokens per second. */
export async function sweepLoad(
  rates = [25, 50, 100, 200],
  answers = [8, 32, 64, 128],
): Promise<Sweep[]> {
  return withFleet({ routers: 1, sidecars: LOAD_SIDECARS, slots: 32 }, async (fleet) => {
    await measureLoad(fleet, TOKEN_SWEEP_RATE, SHORT_ANSWER_TOKENS);
    const requests: SweepPoint[] = [];
    for (const rate of rates) {
      const { requestsPerSecond, ...point } = await measureLoad(fleet, rate, SHORT_ANSWER_TOKENS);
      requests.push({ size: requestsPerSecond, ...point });
    }
    const tokens: SweepPoint[] = [];
    for (const answer of answers) {
      const { requestsPerSecond, ...point } = await measureLoad(fleet, TOKEN_SWEEP_RATE, answer);
      tokens.push({ size: requestsPerSecond * answer, ...point });
    }
    return [
      { name: SweepName.Requests, varied: 'requests/s through one router', points: requests },
      { name: SweepName.Tokens, varied: 'tokens/s through one router', points: tokens },
    ];
  });
}

/** Measures a fleet by the number of workspaces that are always backlogged. */
export async function sweepBacklog(sizes = [4, 8, 16, 32]): Promise<Sweep> {
  const points: SweepPoint[] = [];
  for (const size of sizes) {
    const scale = { routers: 1, sidecars: 4, workspaces: size, slots: 1, stepMs: 10 };
    points.push(await withFleet(scale, (fleet) => measureBacklog(fleet, size)));
  }
  return { name: SweepName.Backlog, varied: 'workspaces always backlogged', points };
}

async function measureIdle(fleet: ProcessFleet, size: number): Promise<SweepPoint> {
  await sleep(SETTLE_MS);
  const calls = fleet.site.configuration.calls.total;
  const startedAt = performance.now();
  const rates = await measureRoles(fleet, () => sleep(MEASURE_MS));
  const seconds = (performance.now() - startedAt) / 1_000;
  const serviceCallsPerSecond = (fleet.site.configuration.calls.total - calls) / seconds;
  return { size, ...rates, serviceCallsPerSecond, changeMs: await measurePropagationTime(fleet) };
}

/** Publishes a revision and returns the milliseconds until it is in force in all processes. */
async function measurePropagationTime(
  fleet: ProcessFleet,
  revision = 2,
  preset = SitePreset.Peak,
): Promise<number> {
  const startedAt = performance.now();
  fleet.site.publish({ revision, preset });
  const nodes = [...fleet.routers, ...fleet.sidecars];
  await Promise.all(
    nodes.map(({ process }) =>
      process.waitForEvent(
        (event) =>
          event['event'] === 'configuration.in_force' && event['revision'] === String(revision),
        `revision ${revision}`,
      ),
    ),
  );
  return performance.now() - startedAt;
}

/** Sends an open-loop load and measures the nodes and the request rate that was reached. */
async function measureLoad(
  fleet: ProcessFleet,
  rate: number,
  outputTokens: number,
): Promise<LoadPoint> {
  const random = new Random(SEED);
  let sent = 0;
  let failed = 0;
  const send = async (): Promise<void> => {
    sent += 1;
    const workspace = random.pick(fleet.site.plan.workspaces);
    const result = await callChat(createCall(fleet, workspace.key, outputTokens));
    if (result.tokens !== outputTokens) failed += 1;
  };
  const startedAt = performance.now();
  const rates = await measureRoles(fleet, () =>
    runOpenLoop({ rate, durationMs: LOAD_MS, random, send }),
  );
  const requestsPerSecond = (sent * 1_000) / (performance.now() - startedAt);
  return { requestsPerSecond, ...rates, failed };
}

async function measureBacklog(fleet: ProcessFleet, size: number): Promise<SweepPoint> {
  const stop = new AbortController();
  const senders = fleet.site.plan.workspaces.flatMap(({ key }) =>
    Array.from({ length: BACKLOG_DEPTH }, () => sendContinuously(fleet, key, stop.signal)),
  );
  await sleep(SETTLE_MS);
  const rates = await measureRoles(fleet, () => sleep(MEASURE_MS));
  stop.abort();
  await Promise.all(senders);
  return { size, ...rates };
}

/** Sends requests one after the other until the signal is aborted. */
async function sendContinuously(
  fleet: ProcessFleet,
  key: string,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) await callChat({ ...createCall(fleet, key, BACKLOG_TOKENS), signal });
}

function createCall(fleet: ProcessFleet, key: string, outputTokens: number): ChatCall {
  const [url = ''] = fleet.routerUrls;
  return { url, key, model: fleet.site.plan.model, prompt: 'hello', outputTokens };
}

/** Measures routers and sidecars while `workload` runs once. */
async function measureRoles(
  fleet: ProcessFleet,
  workload: () => Promise<void>,
): Promise<{ router: NodeRates; sidecar: NodeRates }> {
  let running: Promise<void> | undefined;
  const runOnce = (): Promise<void> => (running ??= workload());
  const [router, sidecar] = await Promise.all([
    measureNodeRates(fleet, fleet.routers, runOnce),
    measureNodeRates(fleet, fleet.sidecars, runOnce),
  ]);
  return { router, sidecar };
}
