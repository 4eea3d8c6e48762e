/**
 * What a run gave each workspace, live or replayed, and the measures that follow from it. Service is
 * what callers received: output tokens as they came, and the prompt's cost with the first of them. A
 * workspace is backlogged while a request of its own has not received its first token.
 */
import { FairnessMeter } from '@poplarpick/load';
import type { FairnessGap } from '@poplarpick/load';
import type { Arrival } from './arrivals.ts';

/** Cost of the prompts, which are all of the same length. */
export const PROMPT_COST = 0.5;

/** One request of a run; times in milliseconds from the start. */
export interface TracedRequest {
  arrival: Arrival;
  /** Times of the output tokens, in order; empty where none came. */
  tokensAt: number[];
}

/** One run. */
export interface RunTrace {
  requests: TracedRequest[];
  /** Weights of the workspaces. */
  weights: Map<string, number>;
}

/** Part of a run. */
export interface Span {
  fromMs: number;
  toMs: number;
}

const SAMPLE_PERIOD_MS = 50;

interface ServiceChange {
  at: number;
  workspace: string;
  /** Cost divided by weight. */
  service: number;
  waiting: number;
}

/** Gaps between all pairs of workspaces while both are backlogged, within a span. */
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

/** Cost that each workspace received within a span, divided by its weight. */
export function measureWeightedService(trace: RunTrace, span: Span): Map<string, number> {
  const service = new Map<string, number>();
  for (const { at, workspace, service: part } of listChanges(trace)) {
    if (at < span.fromMs || at > span.toMs) continue;
    service.set(workspace, (service.get(workspace) ?? 0) + part);
  }
  return service;
}

/** Cost of the largest request. */
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
