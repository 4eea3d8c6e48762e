/**
 * Reads the power of each data centre from the engine stand-ins' own counts of what runs, and adds up
 * the time over the cap.
 */
import type { Site } from '@poplarpick/stand-ins';
import { IDLE_WATTS, WATTS_PER_SLOT } from '@poplarpick/stand-ins';
import { CapTimeline } from './cap-timeline.ts';

const SAMPLE_PERIOD_MS = 5;
const SECOND_MS = 1_000;

/** Options of a `PowerMeter`. */
export interface PowerMeterOptions {
  site: Site;
  /** Time that a lowered cap may take to be in force everywhere. */
  arrivalMs: number;
  settleMs: number;
}

/** What the meter has seen. */
export interface PowerReading {
  /** Time over the lowest cap in flight, added up over the data centres. */
  secondsOverCap: number;
  /** The same, where a lowered cap counts from the moment of its publication. */
  secondsOverCapFromPublication: number;
  highestWattsOverCap: number;
  /** Power above idle over what the lowest cap in flight would allow in whole slots. */
  utilisationUnderCap: number;
  samples: number;
  longestSampleGapMs: number;
}

interface DataCentreMeter {
  name: string;
  engines: { running: number }[];
  caps: CapTimeline;
  strictCaps: CapTimeline;
}

/** Samples until it is stopped. */
export class PowerMeter {
  private readonly meters: DataCentreMeter[];
  private timer: NodeJS.Timeout | undefined;
  private lastAt = 0;
  private overMs = 0;
  private overStrictMs = 0;
  private highestOver = 0;
  private busyWattMs = 0;
  private allowedWattMs = 0;
  private samples = 0;
  private longestGapMs = 0;

  constructor({ site, arrivalMs, settleMs }: PowerMeterOptions) {
    this.meters = site.plan.dataCentres.map((name) => ({
      name,
      engines: enginesOf(site, name),
      caps: new CapTimeline({ arrivalMs, settleMs }),
      strictCaps: new CapTimeline({ arrivalMs: 0, settleMs }),
    }));
  }

  /** Notes a publication; `caps` are watts by data centre. */
  recordPublishedCaps(caps: ReadonlyMap<string, number>): void {
    const now = performance.now();
    for (const meter of this.meters) {
      const watts = caps.get(meter.name) ?? Infinity;
      meter.caps.publish(watts, now);
      meter.strictCaps.publish(watts, now);
    }
  }

  start(): void {
    this.lastAt = performance.now();
    this.timer = setInterval(() => this.sample(), SAMPLE_PERIOD_MS);
  }

  stop(): PowerReading {
    clearInterval(this.timer);
    return {
      secondsOverCap: this.overMs / SECOND_MS,
      secondsOverCapFromPublication: this.overStrictMs / SECOND_MS,
      highestWattsOverCap: this.highestOver,
      utilisationUnderCap: this.busyWattMs / Math.max(1, this.allowedWattMs),
      samples: this.samples,
      longestSampleGapMs: this.longestGapMs,
    };
  }

  private sample(): void {
    const now = performance.now();
    const elapsed = now - this.lastAt;
    this.lastAt = now;
    this.samples += 1;
    this.longestGapMs = Math.max(this.longestGapMs, elapsed);
    for (const meter of this.meters) this.sampleDataCentre(meter, now, elapsed);
  }

  private sampleDataCentre(meter: DataCentreMeter, now: number, elapsed: number): void {
    const idle = meter.engines.length * IDLE_WATTS;
    const busy = meter.engines.reduce((sum, engine) => sum + engine.running * WATTS_PER_SLOT, 0);
    const cap = meter.caps.effectiveCapAt(now);
    const strictCap = meter.strictCaps.effectiveCapAt(now);
    if (idle + busy > strictCap) this.overStrictMs += elapsed;
    if (!Number.isFinite(cap)) return;
    const allowed = Math.floor((strictCap - idle) / WATTS_PER_SLOT) * WATTS_PER_SLOT;
    this.busyWattMs += busy * elapsed;
    this.allowedWattMs += allowed * elapsed;
    if (idle + busy <= cap) return;
    this.overMs += elapsed;
    this.highestOver = Math.max(this.highestOver, idle + busy - cap);
  }
}

function enginesOf(site: Site, dataCentre: string): { running: number }[] {
  return site.plan.endpoints
    .filter((line) => line.dataCentre === dataCentre)
    .flatMap(({ name }) => site.modelEngines.get(name) ?? site.applicationEngines.get(name) ?? []);
}
