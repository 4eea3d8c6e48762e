/** Runs planned arrivals through a fleet of real processes. */
import { computeSlotBudget, EndpointKind, parseFleetConfiguration } from '@poplarpick/decisions';
import { callChat, CallOutcome } from '@poplarpick/load';
import type { ChatResult } from '@poplarpick/load';
import { planSite, SiteSize, renderConfiguration } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { Arrival } from './arrivals.ts';
import { ControlTrafficMeter } from './control-traffic-meter.ts';
import type { ControlRates } from './control-traffic-meter.ts';
import type { RunTrace, Span, TracedRequest } from './run-trace.ts';

/** Step time of every engine at any batch size; longer than a real engine's to limit the run's CPU load. */
export const STEP_MS = 20;

/** Deadline of every request; longer than any run. */
const DEADLINE_MS = 600_000;

const UTILISATION_PERIOD_MS = 5;

/** Time after the span during which requests may still end before they are aborted. */
const SETTLE_MS = 2_000;

/** Options of `runLive`. */
export interface LiveRunOptions {
  plan: SitePlan;
  routers: number;
  arrivals: readonly Arrival[];
  /** Part of the run that is measured. */
  span: Span;
}

/** Result of a live run. */
export interface LiveRun {
  trace: RunTrace;
  results: { arrival: Arrival; result: ChatResult }[];
  /** Busy share of the slots while requests waited. */
  utilisation: number;
  control: ControlRates;
  /** Number of refused requests by error code. */
  refusals: Record<string, number>;
}

/** Plans the site of a run with the given queue limit. Throws if the size is unknown. */
export function planRunSite(size: string, queueLimit: number): SitePlan {
  const siteSize = Object.values(SiteSize).find((entry) => entry === size);
  if (siteSize === undefined) throw new Error(`--size must be izvor or trinacria, not ${size}`);
  return planSite({ size: siteSize, queueLimit });
}

/** Computes the slot budget of each model engine under the power cap, by endpoint. */
export function computeModelSlotBudgets(plan: SitePlan): Map<string, number> {
  const text = renderConfiguration(plan, { revision: 1 });
  const configuration = parseFleetConfiguration(text, 'plan');
  const engines = plan.endpoints.filter(({ kind }) => kind === EndpointKind.Model);
  return new Map(engines.map(({ name }) => [name, computeSlotBudget(configuration, name)]));
}

/** Starts a fleet, sends all arrivals to it and records the answers. */
export async function runLive(options: LiveRunOptions): Promise<LiveRun> {
  const fleet = await ProcessFleet.start({
    plan: options.plan,
    routers: options.routers,
    direct: true,
    site: { engineDefaults: { pace: { baseStepMs: STEP_MS, perSequenceMs: 0 } } },
    nodeOptions: ['--max-semi-space-size=4'],
  });
  try {
    return await new LiveRunner(fleet, options).run();
  } finally {
    await fleet.stop();
  }
}

/** Sends the arrivals to a fleet and samples its slots. */
class LiveRunner {
  private readonly fleet: ProcessFleet;
  private readonly options: LiveRunOptions;
  private readonly requests: TracedRequest[] = [];
  private readonly results: LiveRun['results'] = [];
  private readonly slotBudgets: Map<string, number>;
  private readonly abortController = new AbortController();
  private readonly startedAt = performance.now();
  /** Sent requests that have not received their first token. */
  private waitingRequests = 0;
  private busySlots = 0;
  private sampledSlots = 0;

  constructor(fleet: ProcessFleet, options: LiveRunOptions) {
    this.fleet = fleet;
    this.options = options;
    this.slotBudgets = computeModelSlotBudgets(options.plan);
  }

  async run(): Promise<LiveRun> {
    const { arrivals, span, plan } = this.options;
    const samplingTimer = setInterval(() => this.sampleSlots(), UTILISATION_PERIOD_MS);
    const traffic = new ControlTrafficMeter(this.fleet);
    const calls = arrivals.map((arrival) => this.sendRequest(arrival));
    await this.sleepUntil(span.fromMs);
    await traffic.start();
    await this.sleepUntil(span.toMs);
    const control = await traffic.stop();
    await this.sleepUntil(span.toMs + SETTLE_MS);
    clearInterval(samplingTimer);
    this.abortController.abort();
    await Promise.all(calls);
    return {
      trace: {
        requests: this.requests,
        weights: new Map(plan.workspaces.map(({ name, weight }) => [name, weight])),
      },
      results: this.results,
      utilisation: this.busySlots / Math.max(1, this.sampledSlots),
      control,
      refusals: countRefusals(this.results),
    };
  }

  private now(): number {
    return performance.now() - this.startedAt;
  }

  private async sleepUntil(at: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, at - this.now())));
  }

  private async sendRequest(arrival: Arrival): Promise<void> {
    await this.sleepUntil(arrival.arrivalMs);
    const { plan } = this.options;
    const tokensAt: number[] = [];
    this.requests.push({ arrival: { ...arrival, arrivalMs: this.now() }, tokensAt });
    this.waitingRequests += 1;
    const result = await callChat({
      url: this.fleet.routerUrls[arrival.router] ?? '',
      key: plan.workspaces.find(({ name }) => name === arrival.workspace)?.key ?? '',
      model: plan.model,
      prompt: `request ${arrival.id}`,
      outputTokens: arrival.outputTokens,
      maxTokens: arrival.maxTokens,
      headers: { 'x-request-timeout-ms': String(DEADLINE_MS) },
      signal: this.abortController.signal,
      onToken: () => {
        if (tokensAt.length === 0) this.waitingRequests -= 1;
        tokensAt.push(this.now());
      },
    });
    if (tokensAt.length === 0) this.waitingRequests -= 1;
    this.results.push({ arrival, result });
  }

  /**
   * Samples the busy slots. Requests without a first token include those that have started, so only
   * more of them than there are slots prove that some request waits for a slot.
   */
  private sampleSlots(): void {
    const now = this.now();
    const { span } = this.options;
    const total = [...this.slotBudgets.values()].reduce((sum, slots) => sum + slots, 0);
    if (now < span.fromMs || now > span.toMs || this.waitingRequests <= total) return;
    for (const [endpoint, slots] of this.slotBudgets) {
      const running = this.fleet.site.modelEngines.get(endpoint)?.running ?? 0;
      this.busySlots += Math.min(running, slots);
      this.sampledSlots += slots;
    }
  }
}

function countRefusals(results: LiveRun['results']): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { result } of results) {
    if (result.outcome !== CallOutcome.Refused) continue;
    const code = result.code ?? 'unknown';
    counts[code] = (counts[code] ?? 0) + 1;
  }
  return counts;
}
