/**
 * Generates the seeded workload of a model pool: kinds of requests whose prompts share prefixes, workspaces
 * of unequal size, and floods by one workspace after another.
 */
import type { Prompt, PromptSegment } from '@poplarpick/decisions';
import type { Random } from '@poplarpick/load';

/** A level of shared prompt prefixes: the number of distinct prefixes, and their length. */
export interface SharedPrefixLevel {
  prefixes: number;
  tokens: number;
}

/** Rate, size, deadline and credit of a kind of request. */
export interface RequestKind {
  name: string;
  /** Rate of all workspaces together without any flood. */
  requestsPerSecond: number;
  prefixLevels: readonly SharedPrefixLevel[];
  /** Mean number of prompt tokens after the shared prefixes; the distribution is heavy-tailed. */
  uniqueTokens: number;
  outputTokens: number;
  objectiveMs: number;
  deadlineMs: number;
  /** Credit of a request of mean size on time, and the share of it that a late one earns. */
  credit: number;
  lateCreditShare: number;
}

/** Floods by single workspaces. A flood may begin before the one before it has ended. */
export interface FloodSchedule {
  /** Factor on the usual rate of the flooding workspace. */
  rateFactor: number;
  durationMs: number;
  intervalMs: number;
}

/** The demand on the pool. */
export interface Workload {
  kinds: readonly RequestKind[];
  workspaces: number;
  floods: FloodSchedule;
  /** Largest deviation of a caller's deadline from that of the request's kind, as a fraction; 0 by default. */
  deadlineSpread?: number;
  /** Whether a workspace, named by its index, sends requests of a kind; by default each sends all kinds. */
  sends?: (workspace: number, kind: RequestKind) => boolean;
}

/** The first attempt of a request. */
export interface Arrival {
  id: number;
  atMs: number;
  kind: RequestKind;
  workspace: string;
  prompt: Prompt;
  /** Time from the first attempt to the caller's deadline, in ms. */
  deadlineMs: number;
  /** Index of the router that the caller sends it to. */
  routerIndex: number;
  /** Index of the router that receives the retry of a refused request. */
  retryRouterIndex: number;
}

/** Size of each workspace relative to the next larger one. */
const WORKSPACE_SKEW = 0.75;

const MAX_UNIQUE_TOKENS_FACTOR = 6;
const OUTPUT_SPREAD = 0.8;

/** Generates all arrivals of a run, in the order of time, by thinning a Poisson process at the flood rate. */
export function generateArrivals(
  workload: Workload,
  options: { random: Random; routers: number; durationMs: number },
): Arrival[] {
  const { random, routers, durationMs } = options;
  const names = Array.from({ length: workload.workspaces }, (_, index) => `workspace-${index}`);
  const arrivals: Omit<Arrival, 'id'>[] = [];
  for (const kind of workload.kinds) {
    for (const [index, workspace] of names.entries()) {
      if (workload.sends?.(index, kind) === false) continue;
      const requestsPerSecond = kind.requestsPerSecond * workspaceShare(index, names.length);
      const peakPerSecond = requestsPerSecond * workload.floods.rateFactor;
      for (let atMs = 0; ;) {
        atMs += random.interarrivalMs(peakPerSecond);
        if (atMs >= durationMs) break;
        const isFlooding = floodingWorkspaces(workload, atMs).has(index);
        if (!isFlooding && random.uniform() > 1 / workload.floods.rateFactor) continue;
        const prompt = generatePrompt(kind, random);
        const routerIndex = pickRouter(random, routers);
        const retryRouterIndex = (routerIndex + 1) % routers;
        const deadlineMs = drawDeadline(kind, workload.deadlineSpread ?? 0, random);
        arrivals.push({
          atMs,
          kind,
          workspace,
          prompt,
          deadlineMs,
          routerIndex,
          retryRouterIndex,
        });
      }
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs).map((arrival, id) => ({ id, ...arrival }));
}

/** Indexes of the workspaces that flood at a time. */
function floodingWorkspaces({ floods, workspaces }: Workload, atMs: number): Set<number> {
  const latest = Math.floor(atMs / floods.intervalMs);
  const flooding = new Set<number>();
  for (let flood = latest; flood >= 1; flood -= 1) {
    if (atMs - flood * floods.intervalMs > floods.durationMs) break;
    flooding.add((flood * 3) % workspaces);
  }
  return flooding;
}

function workspaceShare(index: number, count: number): number {
  const total = (1 - WORKSPACE_SKEW ** count) / (1 - WORKSPACE_SKEW);
  return WORKSPACE_SKEW ** index / total;
}

/** Sends half of all requests to the first router, as if its data centre were the busiest. */
function pickRouter(random: Random, routers: number): number {
  return random.uniform() < 0.5 ? 0 : random.integer(routers);
}

function drawDeadline(kind: RequestKind, spread: number, random: Random): number {
  if (spread === 0) return kind.deadlineMs;
  return kind.deadlineMs * (1 + spread * (random.uniform() * 2 - 1));
}

function generatePrompt(kind: RequestKind, random: Random): Prompt {
  const segments: PromptSegment[] = kind.prefixLevels.map(({ prefixes, tokens }, level) => ({
    id: `${kind.name}/${level}/${random.integer(prefixes)}`,
    tokens,
  }));
  const minTokens = kind.uniqueTokens / 2;
  const uniqueTokens = random.boundedPareto(
    minTokens,
    kind.uniqueTokens * MAX_UNIQUE_TOKENS_FACTOR,
    2,
  );
  segments.push({ id: `own/${random.uniform()}`, tokens: uniqueTokens });
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
