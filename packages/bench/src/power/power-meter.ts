/**
 * Samples the power of each data centre from the engine stand-ins' own counts of running requests, and
 * adds up the time over the cap.
 */
import type { Site } from '@poplarpick/stand-ins';
import { IDLE_WATTS, WATTS_PER_SLOT } from '@poplarpick/stand-ins';
import { CapTimeline } from './cap-timeline.ts';

const SAMPLE_PERIOD_MS = 5;
const MS_PER_SECOND = 1_000;

/** Options of a `PowerMeter`. */
export interface PowerMeterOptions {
  site: Site;
  /** Time within which a lowered cap is in force in all processes. */
  propagationMs: number;
  settleMs: number;
}

/** Measurements between `start` and `stop`. */
export interface PowerReading {
  /** Time over the effective cap, summed over the data centres. */
  secondsOverCap: number;
  /** The same, if a lowered cap takes effect at its publication. */
  secondsOverCapFromPublication: number;
  highestWattsOverCap: number;
  /** Power above idle divided by the power of the whole slots that the published caps allow. */
  utilisationUnderCap: number;
  samples: number;
  longestSampleGapMs: number;
}

/** Engines and caps of one data centre. */
interface DataCentreMeter {
  name: string;
  engines: { running: number }[];
  capTimeline: CapTimeline;
  /** Caps that take effect at their publication. */
  strictCapTimeline: CapTimeline;
}

/** Samples the power between `start` and `stop`. */
export class PowerMeter {
  private readonly meters: DataCentreMeter[];
  private timer: NodeJS.Timeout | undefined;
  private lastSampleAt = 0;
  private overCapMs = 0;
  private overStrictCapMs = 0;
  private maxWattsOverCap = 0;
  private busyWattMs = 0;
  private allowedWattMs = 0;
  private samples = 0;
  private longestSampleGapMs = 0;

  constructor({ site, propagationMs, settleMs }: PowerMeterOptions) {
    this.meters = site.plan.dataCentres.map((name) => ({
      name,
      engines: listEngines(site, name),
      capTimeline: new CapTimeline({ propagationMs, settleMs }),
      strictCapTimeline: new CapTimeline({ propagationMs: 0, settleMs }),
    }));
  }

  /** Records a publication of caps, in watts by data centre. */
  recordPublishedCaps(caps: ReadonlyMap<string, number>): void {
    const now = performance.now();
    for (const meter of this.meters) {
      const watts = caps.get(meter.name) ?? Infinity;
      meter.capTimeline.publish(watts, now);
      meter.strictCapTimeline.publish(watts, now);
    }
  }

  start(): void {
    this.lastSampleAt = performance.now();
    this.timer = setInterval(() => this.sample(), SAMPLE_PERIOD_MS);
  }

  stop(): PowerReading {
    clearInterval(this.timer);
    return {
      secondsOverCap: this.overCapMs / MS_PER_SECOND,
      secondsOverCapFromPublication: this.overStrictCapMs / MS_PER_SECOND,
      highestWattsOverCap: this.maxWattsOverCap,
      utilisationUnderCap: this.busyWattMs / Math.max(1, this.allowedWattMs),
      samples: this.samples,
      longestSampleGapMs: this.longestSampleGapMs,
    };
  }

  private sample(): void {
    const now = performance.now();
    const elapsed = now - this.lastSampleAt;
    this.lastSampleAt = now;
    this.samples += 1;
    this.longestSampleGapMs = Math.max(this.longestSampleGapMs, elapsed);
    for (const meter of this.meters) this.sampleDataCentre(meter, now, elapsed);
  }

  private sampleDataCentre(meter: DataCentreMeter, now: number, elapsed: number): void {
    const idle = meter.engines.length * IDLE_WATTS;
    const busy = meter.engines.reduce((sum, engine) => sum + engine.running * WATTS_PER_SLOT, 0);
    const cap = meter.capTimeline.effectiveCapAt(now);
    const strictCap = meter.strictCapTimeline.effectiveCapAt(now);
    if (idle + busy > strictCap) this.overStrictCapMs += elapsed;
    if (!Number.isFinite(cap)) return;
    const allowed = Math.floor((strictCap - idle) / WATTS_PER_SLOT) * WATTS_PER_SLOT;
    this.busyWattMs += busy * elapsed;
    this.allowedWattMs += allowed * elapsed;
    if (idle + busy <= cap) return;
    this.overCapMs += elapsed;
    this.maxWattsOverCap = Math.max(this.maxWattsOverCap, idle + busy - cap);
  }
}

function listEngines(site: Site, dataCentre: string): { running: number }[] {
  return site.plan.endpoints
    .filter((line) => line.dataCentre === dataCentre)
    .flatMap(({ name }) => site.modelEngines.get(name) ?? site.applicationEngines.get(name) ?? []);
}
