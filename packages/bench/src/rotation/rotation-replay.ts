/**
 * Replay of a crowd that comes in at one data centre, in simulated time: routers with a cost of each call decide by the
 * product's own rules whether they are ready, and a load balancer spreads new connections by that.
 */
import { Random } from '@poplarpick/load';
import { LoadBalancer } from './load-balancer.ts';
import { SimulatedCaller } from './simulated-caller.ts';
import type { CallCounts } from './simulated-caller.ts';
import { SimulatedRouter } from './simulated-router.ts';

const STEP_MS = 5;

const CALLERS_PER_DATA_CENTRE = 60;

/** Part of a data centre's callers that send most of its calls, and the part of the calls that they send. */
const LARGE_CALLERS = { share: 0.1, calls: 0.6 };

/** Options of a `RotationReplay`. */
export interface RotationReplayOptions {
  seed: number;
  dataCentres?: number;
  routersPerDataCentre?: number;
  /** Calls a second of a data centre before and beside the crowd. */
  callsPerSecond?: number;
  /** Calls a second of the first data centre once the crowd has come. */
  crowdCallsPerSecond?: number;
  /** Time at which the crowd comes; calls count from here on, in ms. */
  crowdAt?: number;
  durationMs?: number;
}

/** Calls that were read in time, as fractions of those that were sent since the crowd came. */
export interface RotationResult {
  crowd: number;
  /** The same of the other data centres together. */
  others: number;
}

/** Plays one crowd. */
export class RotationReplay {
  private readonly options: Required<RotationReplayOptions>;
  private readonly random: Random;
  private readonly routers: SimulatedRouter[] = [];
  private readonly balancer: LoadBalancer<SimulatedRouter>;
  private readonly callers: SimulatedCaller[] = [];
  private readonly crowd: CallCounts = { sent: 0, inTime: 0 };
  private readonly others: CallCounts = { sent: 0, inTime: 0 };

  constructor(options: RotationReplayOptions) {
    this.options = {
      dataCentres: 6,
      routersPerDataCentre: 3,
      callsPerSecond: 24,
      crowdCallsPerSecond: 250,
      crowdAt: 5_000,
      durationMs: 35_000,
      ...options,
    };
    this.random = new Random(options.seed);
    for (let index = 0; index < this.options.dataCentres; index += 1)
      this.addRouters(`dc-${index}`);
    this.balancer = new LoadBalancer(this.routers);
    for (let index = 0; index < this.options.dataCentres; index += 1) this.addCallers(index);
  }

  run(): RotationResult {
    for (let now = STEP_MS; now <= this.options.durationMs; now += STEP_MS) {
      this.balancer.check(now);
      for (const caller of this.callers) caller.advance(now);
      for (const router of this.routers) router.advance(now);
    }
    return { crowd: fractionInTime(this.crowd), others: fractionInTime(this.others) };
  }

  private addRouters(dataCentre: string): void {
    for (let index = 0; index < this.options.routersPerDataCentre; index += 1) {
      this.routers.push(new SimulatedRouter(dataCentre));
    }
  }

  private addCallers(dataCentreIndex: number): void {
    const { balancer, random } = this;
    const largeCount = CALLERS_PER_DATA_CENTRE * LARGE_CALLERS.share;
    const smallCount = CALLERS_PER_DATA_CENTRE - largeCount;
    for (let index = 0; index < CALLERS_PER_DATA_CENTRE; index += 1) {
      const part =
        index < largeCount
          ? LARGE_CALLERS.calls / largeCount
          : (1 - LARGE_CALLERS.calls) / smallCount;
      this.callers.push(
        new SimulatedCaller({
          dataCentre: `dc-${dataCentreIndex}`,
          balancer,
          random,
          ratePerSecond: (now) => this.callsPerSecond(dataCentreIndex, now) * part,
          counts: dataCentreIndex === 0 ? this.crowd : this.others,
          countedFrom: this.options.crowdAt,
        }),
      );
    }
  }

  private callsPerSecond(dataCentreIndex: number, now: number): number {
    const { callsPerSecond, crowdCallsPerSecond, crowdAt } = this.options;
    return dataCentreIndex === 0 && now >= crowdAt ? crowdCallsPerSecond : callsPerSecond;
  }
}

function fractionInTime({ sent, inTime }: CallCounts): number {
  return sent === 0 ? 1 : inTime / sent;
}
