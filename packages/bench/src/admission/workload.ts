/**
 * Requests of a model pool over some time, seeded: kinds of prompts that share their beginnings,
 * workspaces of unequal size, and some of them that flood in turn.
 */
import type { Prompt, PromptSegment } from '@poplarpick/decisions';
import type { Random } from '@poplarpick/load';

/** A level of shared beginnings: how many there are, and how long. */
export interface SharedPrefixLevel {
  prefixes: number;
  tokens: number;
}

/** A kind of request. */
export interface RequestKind {
  name: string;
  /** Requests a second without any flood. */
  requestsPerSecond: number;
  prefixLevels: readonly SharedPrefixLevel[];
  /** Mean of the tokens that belong to the request itself; heavy-tailed around it. */
  uniqueTokens: number;
  outputTokens: number;
  objectiveMs: number;
  deadlineMs: number;
  /** Credit of a request of mean size that is on time, and the share of it that a late one earns. */
  credit: number;
  lateCreditShare: number;
}

/** Floods of single workspaces: each lasts for a while, and the next begins in its midst. */
export interface FloodSchedule {
  /** Times its usual rate. */
  rateFactor: number;
  durationMs: number;
  intervalMs: number;
}

/** What is asked of the pool. */
export interface Workload {
  kinds: readonly RequestKind[];
  workspaces: number;
  floods: FloodSchedule;
}

/** A request as its caller sends it first. */
export interface Arrival {
  id: number;
  atMs: number;
  kind: RequestKind;
  workspace: string;
  prompt: Prompt;
  /** Router that it comes to. */
  routerIndex: number;
}

/** Share of the largest workspace against the one after it; the others follow in the same way. */
const WORKSPACE_SKEW = 0.75;

const LARGEST_OWN_FACTOR = 6;
const OUTPUT_SPREAD = 0.8;

/** Lays out all arrivals of a run, in the order of time. */
export function generateArrivals(
  workload: Workload,
  options: { random: Random; routers: number; lengthMs: number },
): Arrival[] {
  const { random, routers, lengthMs } = options;
  const names = Array.from({ length: workload.workspaces }, (_, index) => `workspace-${index}`);
  const arrivals: Omit<Arrival, 'id'>[] = [];
  for (const kind of workload.kinds) {
    for (const [index, workspace] of names.entries()) {
      const perSecond = kind.requestsPerSecond * shareOf(index, names.length);
      const most = perSecond * workload.floods.rateFactor;
      for (let atMs = 0; ;) {
        atMs += random.interarrivalMs(most);
        if (atMs >= lengthMs) break;
        const isFlooding = floodAt(workload, atMs).has(index);
        if (!isFlooding && random.uniform() > 1 / workload.floods.rateFactor) continue;
        const prompt = makePrompt(kind, random);
        arrivals.push({ atMs, kind, workspace, prompt, routerIndex: pickRouter(random, routers) });
      }
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs).map((arrival, id) => ({ id, ...arrival }));
}

/** Workspaces that flood at a time, by their numbers. */
function floodAt({ floods, workspaces }: Workload, atMs: number): Set<number> {
  const latest = Math.floor(atMs / floods.intervalMs);
  const flooding = new Set<number>();
  for (let flood = latest; flood >= 1; flood -= 1) {
    if (atMs - flood * floods.intervalMs > floods.durationMs) break;
    flooding.add((flood * 3) % workspaces);
  }
  return flooding;
}

function shareOf(index: number, count: number): number {
  const total = (1 - WORKSPACE_SKEW ** count) / (1 - WORKSPACE_SKEW);
  return WORKSPACE_SKEW ** index / total;
}

/** Half of all callers come to the first router, as where one data centre is the busiest. */
function pickRouter(random: Random, routers: number): number {
  return random.uniform() < 0.5 ? 0 : random.integer(routers);
}

function makePrompt(kind: RequestKind, random: Random): Prompt {
  const segments: PromptSegment[] = kind.prefixLevels.map(({ prefixes, tokens }, level) => ({
    id: `${kind.name}/${level}/${random.integer(prefixes)}`,
    tokens,
  }));
  const least = kind.uniqueTokens / 2;
  const own = random.boundedPareto(least, kind.uniqueTokens * LARGEST_OWN_FACTOR, 2);
  segments.push({ id: `own/${random.uniform()}`, tokens: own });
  const spread = 1 + OUTPUT_SPREAD * (random.uniform() * 2 - 1);
  const outputTokens = Math.max(1, Math.round(kind.outputTokens * spread));
  return {
    model: 'm',
    segments,
    inputTokens: segments.reduce((sum, { tokens }) => sum + tokens, 0),
    maxOutputTokens: outputTokens,
    outputTokens,
  };
}
