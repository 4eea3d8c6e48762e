/**
 * Load of the demo: each workspace sends chat requests at its own rate, and one floods the fleet. Besides,
 * workspaces send bookings that must not run twice. Every answer is checked.
 */
import {
  callApplication,
  callChat,
  CallOutcome,
  buildChatBody,
  FairnessMeter,
  Random,
  sum,
} from '@poplarpick/load';
import { expectedAnswer } from '@poplarpick/stand-ins';
import type { PlannedWorkspace } from '@poplarpick/stand-ins';
import type { DemoFleet } from './demo-fleet.ts';

/** Measurements of the demo. */
export interface DemoResult {
  /** Largest fairness gap, in multiples of the cost of the largest request. */
  fairnessGap: number;
  /** Share of the available slot time that was busy while requests were queued. */
  utilisation: number;
  /** Mean control bytes that a process sent and received per second. */
  controlBytesPerNodeSecond: number;
  requests: number;
  /** Number of requests that received neither an answer nor a refusal. */
  lost: number;
  /** Number of bookings that ran more than once. */
  doubled: number;
  wrongAnswer: number;
  refused: number;
  seconds: number;
}

const SAMPLE_INTERVAL_MS = 100;
const MIN_OUTPUT_TOKENS = 8;
const MAX_OUTPUT_TOKENS = 160;
/** Requests per second of an ordinary workspace, a busy workspace and the flooding workspace. */
const ORDINARY_RATE = 0.8;
const BUSY_RATE = 8;
const FLOOD_RATE = 40;
/** The first workspace floods, the given number of workspaces after it are busy. */
const BUSY_WORKSPACE_COUNT = 3;
const BOOKING_RATE = 4;

interface WorkspaceLoad {
  workspace: PlannedWorkspace;
  /** Number of tokens received. */
  tokens: number;
  /** Number of open requests that have not received their first token. */
  waiting: number;
}

/** Generates the load and measures the answers. */
export class DemoLoad {
  private readonly fleet: DemoFleet;
  private readonly random: Random;
  private readonly urls: string[];
  private readonly loads: WorkspaceLoad[];
  private readonly meter = new FairnessMeter();
  private readonly openRequests = new Set<Promise<void>>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly samplingTimer: NodeJS.Timeout;
  private readonly startedAt = performance.now();
  private readonly controlBytesAtStart: number;
  private stopped = false;
  private finishedAt = 0;
  private lastSerial = 0;
  private requestCount = 0;
  private lostCount = 0;
  private wrongCount = 0;
  private refusedCount = 0;
  private busySlotSamples = 0;
  private availableSlotSamples = 0;

  constructor(fleet: DemoFleet, seed: number) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.urls = fleet.listRouterUrls();
    this.loads = fleet.site.plan.workspaces.map((workspace) => ({
      workspace,
      tokens: 0,
      waiting: 0,
    }));
    this.controlBytesAtStart = fleet.sumControlBytes();
    this.samplingTimer = setInterval(() => this.recordSample(), SAMPLE_INTERVAL_MS);
    this.loads.forEach((load, index) =>
      this.scheduleArrivals(findArrivalRate(index), () => this.sendChat(load)),
    );
    this.scheduleArrivals(BOOKING_RATE, () => this.sendBooking());
  }

  formatProgress(): string {
    const seconds = Math.round((performance.now() - this.startedAt) / 1_000);
    const { busy, available } = this.fleet.countModelSlots();
    const waiting = sum(this.loads.map((load) => load.waiting));
    return `${seconds}s  requests ${this.requestCount}  waiting ${waiting}  slots ${busy}/${available}`;
  }

  async runFor(durationMs: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, durationMs));
    this.stop();
  }

  /** Stops sending new requests. */
  stop(): void {
    this.stopped = true;
    this.finishedAt = performance.now();
    clearInterval(this.samplingTimer);
    this.timers.forEach((timer) => clearTimeout(timer));
  }

  /** Waits for the open requests and returns the measurements. */
  async finish(): Promise<DemoResult> {
    const seconds = (this.finishedAt - this.startedAt) / 1_000;
    const controlBytes = this.fleet.sumControlBytes() - this.controlBytesAtStart;
    await Promise.all(this.openRequests);
    const doubled = [...this.fleet.site.countRuns().values()].filter((runs) => runs > 1).length;
    return {
      fairnessGap: this.meter.computeGap().max / MAX_OUTPUT_TOKENS,
      utilisation:
        this.availableSlotSamples === 0 ? 0 : this.busySlotSamples / this.availableSlotSamples,
      // Each byte counts twice, since another process of the fleet receives it.
      controlBytesPerNodeSecond: (2 * controlBytes) / this.fleet.listKernels().length / seconds,
      requests: this.requestCount,
      lost: this.lostCount,
      doubled,
      wrongAnswer: this.wrongCount,
      refused: this.refusedCount,
      seconds,
    };
  }

  /** Open loop: calls `send` at random times with the given mean rate, regardless of open requests. */
  private scheduleArrivals(perSecond: number, send: () => Promise<void>): void {
    if (this.stopped) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      const request = send().finally(() => this.openRequests.delete(request));
      this.openRequests.add(request);
      this.scheduleArrivals(perSecond, send);
    }, this.random.interarrivalMs(perSecond));
    this.timers.add(timer);
  }

  private async sendChat(load: WorkspaceLoad): Promise<void> {
    this.requestCount += 1;
    load.waiting += 1;
    const call = {
      url: this.random.pick(this.urls),
      key: load.workspace.key,
      model: this.fleet.site.plan.model,
      prompt: `question ${++this.lastSerial} of ${load.workspace.name}`,
      outputTokens: this.random.boundedPareto(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS),
    };
    let started = false;
    const onToken = (): void => {
      if (!started) load.waiting -= 1;
      started = true;
      load.tokens += 1;
    };
    const result = await callChat({ ...call, onToken });
    if (!started) load.waiting -= 1;
    if (result.outcome === CallOutcome.Refused) this.refusedCount += 1;
    else if (result.outcome === CallOutcome.Interrupted) this.lostCount += 1;
    else if (result.text !== expectedAnswer(buildChatBody(call))) this.wrongCount += 1;
  }

  private async sendBooking(): Promise<void> {
    this.requestCount += 1;
    const { service, nonIdempotentPath } = this.fleet.site.plan;
    const key = `booking-${++this.lastSerial}`;
    const result = await callApplication({
      url: this.random.pick(this.urls),
      key: this.random.pick(this.loads).workspace.key,
      service,
      path: nonIdempotentPath,
      body: { key },
    });
    if (result.outcome === CallOutcome.Refused) this.refusedCount += 1;
    else if (result.outcome === CallOutcome.Interrupted) this.lostCount += 1;
    else if ((result.body as { key?: string }).key !== key) this.wrongCount += 1;
  }

  private recordSample(): void {
    this.meter.addSamples(
      this.loads.map(({ workspace, tokens, waiting }) => ({
        workspace: workspace.name,
        service: tokens / workspace.weight,
        backlogged: waiting > 0,
      })),
    );
    if (this.fleet.countQueuedRequests() === 0) return;
    const { busy, available } = this.fleet.countModelSlots();
    this.busySlotSamples += busy;
    this.availableSlotSamples += available;
  }
}

/** Requests per second of the workspace at an index. */
function findArrivalRate(index: number): number {
  if (index === 0) return FLOOD_RATE;
  return index <= BUSY_WORKSPACE_COUNT ? BUSY_RATE : ORDINARY_RATE;
}
