/**
 * Measures the service levels of this router for each workspace: counts of good and bad events over
 * the last six hours, and histograms of latencies over the last one to two hours. Memory is bounded:
 * if there are too many workspaces, the least recently used one is evicted.
 */
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { LRUCache } from 'lru-cache';
import {
  BUDGET_WINDOW_MS,
  BURN_WINDOWS_MS,
  EventCountRing,
  DEFAULT_OBJECTIVES,
  findObjectives,
  Objective,
  OBJECTIVES,
} from '@poplarpick/decisions';
import type {
  CountBucket,
  EventCounts,
  FleetConfiguration,
  ServiceObjectives,
} from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const COARSE_BUCKET_MS = 5 * MINUTE_MS;

/** Default maximum number of workspaces that are measured at the same time. */
const DEFAULT_WORKSPACE_LIMIT = 2_048;

/** Histograms record times in tenths of a millisecond. */
export const HISTOGRAM_UNITS_PER_MS = 10;
const HISTOGRAM_DIGITS = 2;

/** Counts of good events and all events over one window, by objective. */
export interface WindowCounts {
  windowMs: number;
  counts: Record<Objective, EventCounts>;
}

/** Service levels of one workspace at one router. */
export interface WorkspaceLevels {
  workspace: string;
  objectives: ServiceObjectives;
  windows: WindowCounts[];
  /** Counts per minute over the last hour. */
  series: CountBucket[];
  /** Compressed histogram of the time to the first token over the last one to two hours, in Base64. */
  firstToken: string;
  /** Compressed histogram of the gaps between tokens over the last one to two hours, in Base64. */
  tokenGap: string;
}

/** Service levels of one router, as returned by `burn.show`. */
export interface ServiceLevels {
  host: string;
  /** Time that the counts cover: the router's uptime, at most six hours. */
  coveredMs: number;
  workspaces: WorkspaceLevels[];
}

/** Options of a `ServiceLevelMeter`. */
export interface ServiceLevelMeterOptions {
  host: string;
  clock: Clock;
  workspaceLimit?: number;
}

/** Measures the service levels of all workspaces. */
export class ServiceLevelMeter {
  private readonly host: string;
  private readonly clock: Clock;
  private readonly startedAt: number;
  private readonly meters: LRUCache<string, WorkspaceMeter>;
  private configuration: FleetConfiguration | undefined;

  constructor(options: ServiceLevelMeterOptions) {
    this.host = options.host;
    this.clock = options.clock;
    this.startedAt = options.clock.monotonic();
    this.meters = new LRUCache({ max: options.workspaceLimit ?? DEFAULT_WORKSPACE_LIMIT });
  }

  /** Applies the objectives of a configuration to later events; existing counts do not change. */
  configure(configuration: FleetConfiguration): void {
    this.configuration = configuration;
    for (const [workspace, meter] of this.meters.entries())
      meter.objectives = findObjectives(configuration, workspace);
  }

  recordRefusal(workspace: string, refused: boolean): void {
    this.getMeter(workspace).count(this.clock.now(), Objective.Refusals, !refused);
  }

  recordCompletion(workspace: string, completed: boolean): void {
    this.getMeter(workspace).count(this.clock.now(), Objective.Completed, completed);
  }

  recordFirstToken(workspace: string, delayMs: number): void {
    this.getMeter(workspace).recordFirstToken(this.clock.now(), delayMs);
  }

  recordTokenGap(workspace: string, gapMs: number): void {
    this.getMeter(workspace).recordTokenGap(this.clock.now(), gapMs);
  }

  read(): ServiceLevels {
    const coveredMs = Math.min(BUDGET_WINDOW_MS, this.clock.monotonic() - this.startedAt);
    const workspaces = [...this.meters.entries()].map(([workspace, meter]) =>
      meter.read(workspace, this.clock.now()),
    );
    return { host: this.host, coveredMs, workspaces };
  }

  private getMeter(workspace: string): WorkspaceMeter {
    const existing = this.meters.get(workspace);
    if (existing !== undefined) return existing;
    const { configuration } = this;
    const objectives =
      configuration === undefined ? DEFAULT_OBJECTIVES : findObjectives(configuration, workspace);
    const meter = new WorkspaceMeter(objectives);
    this.meters.set(workspace, meter);
    return meter;
  }
}

/** Measures the service levels of one workspace. */
class WorkspaceMeter {
  objectives: ServiceObjectives;
  private readonly minuteCounts = new EventCountRing({
    bucketMs: MINUTE_MS,
    buckets: HOUR_MS / MINUTE_MS,
  });
  private readonly coarseCounts = new EventCountRing({
    bucketMs: COARSE_BUCKET_MS,
    buckets: BUDGET_WINDOW_MS / COARSE_BUCKET_MS,
  });
  private readonly firstToken = new RotatingHistogram();
  private readonly tokenGap = new RotatingHistogram();

  constructor(objectives: ServiceObjectives) {
    this.objectives = objectives;
  }

  count(nowMs: number, objective: Objective, good: boolean): void {
    this.minuteCounts.add(nowMs, objective, good);
    this.coarseCounts.add(nowMs, objective, good);
  }

  recordFirstToken(nowMs: number, delayMs: number): void {
    this.count(nowMs, Objective.FirstToken, delayMs <= this.objectives.first_token_ms);
    this.firstToken.record(nowMs, delayMs);
  }

  recordTokenGap(nowMs: number, gapMs: number): void {
    this.count(nowMs, Objective.TokenGap, gapMs <= this.objectives.token_gap_ms);
    this.tokenGap.record(nowMs, gapMs);
  }

  read(workspace: string, nowMs: number): WorkspaceLevels {
    const windows = BURN_WINDOWS_MS.map((windowMs) => ({
      windowMs,
      counts: Object.fromEntries(
        OBJECTIVES.map((objective) => [objective, this.sum(nowMs, windowMs, objective)]),
      ) as Record<Objective, EventCounts>,
    }));
    return {
      workspace,
      objectives: this.objectives,
      windows,
      series: this.minuteCounts.listBuckets(nowMs, HOUR_MS),
      firstToken: this.firstToken.encode(nowMs),
      tokenGap: this.tokenGap.encode(nowMs),
    };
  }

  private sum(nowMs: number, windowMs: number, objective: Objective): EventCounts {
    const ring = windowMs <= HOUR_MS ? this.minuteCounts : this.coarseCounts;
    return ring.sum(nowMs, windowMs, objective);
  }
}

/** Pair of histograms that rotate every hour and together cover the last one to two hours. */
class RotatingHistogram {
  private current = createHistogram();
  private previous = createHistogram();
  private hour = 0;

  record(nowMs: number, valueMs: number): void {
    this.rotate(nowMs);
    this.current.recordValue(Math.max(0, Math.round(valueMs * HISTOGRAM_UNITS_PER_MS)));
  }

  encode(nowMs: number): string {
    this.rotate(nowMs);
    const merged = createHistogram();
    merged.add(this.previous);
    merged.add(this.current);
    return encodeIntoCompressedBase64(merged);
  }

  private rotate(nowMs: number): void {
    const hour = Math.floor(nowMs / HOUR_MS);
    if (hour === this.hour) return;
    this.previous = hour === this.hour + 1 ? this.current : createHistogram();
    this.current = createHistogram();
    this.hour = hour;
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 'packed',
    numberOfSignificantValueDigits: HISTOGRAM_DIGITS,
    autoResize: true,
  });
}
