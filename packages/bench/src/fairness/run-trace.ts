/**
 * Trace of a live or replayed run, and the fairness measures computed from it. Service is counted as
 * callers receive it: each output token when it arrives, and the prompt's cost with the first token. A
 * workspace is backlogged while one of its requests has not received its first token.
 */
import { FairnessMeter } from '@poplarpick/load';
import type { FairnessGap } from '@poplarpick/load';
import type { Arrival } from './arrivals.ts';

/** Cost of a prompt; all prompts have the same length. */
export const PROMPT_COST = 0.5;

/** One request of a run. Times are in milliseconds from the start of the run. */
export interface TracedRequest {
  arrival: Arrival;
  /** Arrival times of the output tokens in order; empty if none arrived. */
  tokensAt: number[];
}

/** Requests of one run. */
export interface RunTrace {
  requests: TracedRequest[];
  /** Weight of each workspace. */
  weights: Map<string, number>;
}

/** Part of a run, in milliseconds from its start. */
export interface Span {
  fromMs: number;
  toMs: number;
}

const SAMPLE_PERIOD_MS = 50;

/** Change of a workspace's service and of its number of waiting requests. */
interface ServiceChange {
  at: number;
  workspace: string;
  /** Cost divided by the workspace's weight. */
  service: number;
  waiting: number;
}

/** Measures the service gaps between all pairs of workspaces while both are backlogged, within a span. */
export function measureFairnessGap(trace: RunTrace, span: Span): FairnessGap {
  const changes = listChanges(trace);
  const states = new Map([...trace.weights.keys()].map((name) => [name, createState(name)]));
  const meter = new FairnessMeter();
  let next = 0;
  for (let now = 0; now <= span.toMs; now += SAMPLE_PERIOD_MS) {
    for (let change = changes[next]; change !== undefined && change.at <= now;) {
      applyChange(states, change);
      next += 1;
      change = changes[next];
    }
    if (now < span.fromMs) continue;
    const samples = [...states.values()].map((state) => ({
      workspace: state.workspace,
      service: state.service,
      backlogged: state.waiting > 0,
    }));
    meter.addSamples(samples);
  }
  return meter.computeGap();
}

/** Service that each workspace received within a span, divided by its weight. */
export function measureWeightedService(trace: RunTrace, span: Span): Map<string, number> {
  const service = new Map<string, number>();
  for (const { at, workspace, service: part } of listChanges(trace)) {
    if (at < span.fromMs || at > span.toMs) continue;
    service.set(workspace, (service.get(workspace) ?? 0) + part);
  }
  return service;
}

/** Returns the cost of the largest request. */
export function findLargestCost(trace: RunTrace): number {
  return Math.max(...trace.requests.map(({ arrival }) => arrival.outputTokens + PROMPT_COST));
}

function createState(workspace: string) {
  return { workspace, service: 0, waiting: 0 };
}

function applyChange(
  states: Map<string, ReturnType<typeof createState>>,
  { workspace, service, waiting }: ServiceChange,
): void {
  const state = states.get(workspace);
  if (state === undefined) return;
  state.service += service;
  state.waiting += waiting;
}

function listChanges(trace: RunTrace): ServiceChange[] {
  const changes = trace.requests.flatMap(({ arrival, tokensAt }) => {
    const { workspace, arrivalMs } = arrival;
    const weight = trace.weights.get(workspace) ?? 1;
    const produced = tokensAt.map((tokenAt, index) => ({
      at: tokenAt,
      workspace,
      service: (1 + (index === 0 ? PROMPT_COST : 0)) / weight,
      waiting: index === 0 ? -1 : 0,
    }));
    return [{ at: arrivalMs, workspace, service: 0, waiting: 1 }, ...produced];
  });
  return changes.sort((a, b) => a.at - b.at);
}
