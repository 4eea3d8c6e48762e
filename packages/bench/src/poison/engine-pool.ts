/** The engines of the poison replay. In the place of one that has crashed, another incarnation starts. */
import type { Clock } from '@poplarpick/kernel';
import type { Random } from '@poplarpick/load';
import { CrashPattern } from './poison-day.ts';
import { ReplayEngine } from './replay-engine.ts';
import type { ReplayAttempt } from './replay-engine.ts';

const EVENT_PERIOD_MS = 40;
const RESTART_MS = { least: 3_000, most: 8_000 };
/** Time from one crash to the next of the pattern, in ms. */
const SINGLE_PERIOD_MS = { least: 1_000, most: 10_000 };
const ROLLING_PERIOD_MS = { least: 1_000, most: 3_000 };
const TOGETHER_PERIOD_MS = { least: 20_000, most: 30_000 };
/** Time from the start of an engine to its crash in a loop, in ms. */
const LOOP_LIFE_MS = { least: 300, most: 2_000 };
const LOOP_DURATION_MS = 20_000;

interface Span {
  least: number;
  most: number;
}

/** Options of an `EnginePool`. */
export interface EnginePoolOptions {
  engines: number;
  clock: Clock;
  random: Random;
  /** Called with the attempts that are lost in a crash. */
  onCrash: (lost: readonly ReplayAttempt[]) => void;
}

/** Engines that crash and start again. */
export class EnginePool {
  private readonly options: EnginePoolOptions;
  private readonly slots: ReplayEngine[] = [];
  private incarnations = 0;
  private crashes = 0;
  private loopEndsAt = 0;

  constructor(options: EnginePoolOptions) {
    this.options = options;
    for (let slot = 0; slot < options.engines; slot += 1) this.start(slot);
    options.clock.every(EVENT_PERIOD_MS, () => this.sendBytes());
  }

  get crashCount(): number {
    return this.crashes;
  }

  /** The less busy of two running engines, without `excluded`; undefined if none runs. */
  select(excluded?: ReplayEngine): ReplayEngine | undefined {
    const { random } = this.options;
    const running = this.slots.filter((engine) => engine.isRunning && engine !== excluded);
    if (running.length === 0) return undefined;
    const [one, other] = [random.pick(running), random.pick(running)];
    return one.attempts.size <= other.attempts.size ? one : other;
  }

  /** Ends an engine; another incarnation starts in its place. False if it had ended before. */
  crash(engine: ReplayEngine): boolean {
    if (!engine.isRunning) return false;
    this.crashes += 1;
    const slot = this.slots.indexOf(engine);
    this.options.clock.after(this.draw(RESTART_MS), () => this.start(slot));
    this.options.onCrash(engine.crash());
    return true;
  }

  /** Begins the crashes of a pattern. */
  beginPattern(pattern: CrashPattern): void {
    switch (pattern) {
      case CrashPattern.None:
        return;
      case CrashPattern.Single:
        this.repeat(SINGLE_PERIOD_MS, () => this.crashAny());
        return;
      case CrashPattern.Together:
        this.repeat(TOGETHER_PERIOD_MS, () => this.crashAll());
        return;
      case CrashPattern.Rolling:
        this.crashFrom(0);
        return;
      case CrashPattern.Loop:
        this.loopEndsAt = this.options.clock.monotonic() + LOOP_DURATION_MS;
        for (const engine of this.slots) this.crashSoon(engine);
    }
  }

  private start(slot: number): void {
    this.incarnations += 1;
    const now = this.options.clock.monotonic();
    const engine = new ReplayEngine(this.incarnations, now);
    this.slots[slot] = engine;
    if (now < this.loopEndsAt) this.crashSoon(engine);
  }

  private sendBytes(): void {
    const now = this.options.clock.monotonic();
    for (const engine of this.slots) engine.sendBytes(now);
  }

  private crashAny(): void {
    const engine = this.select();
    if (engine !== undefined) this.crash(engine);
  }

  private crashAll(): void {
    for (const engine of this.slots) this.crash(engine);
  }

  private crashFrom(slot: number): void {
    const engine = this.slots[slot];
    if (engine === undefined) return;
    this.crash(engine);
    this.options.clock.after(this.draw(ROLLING_PERIOD_MS), () => this.crashFrom(slot + 1));
  }

  private crashSoon(engine: ReplayEngine): void {
    this.options.clock.after(this.draw(LOOP_LIFE_MS), () => this.crash(engine));
  }

  private repeat(period: Span, action: () => void): void {
    action();
    this.options.clock.after(this.draw(period), () => this.repeat(period, action));
  }

  private draw({ least, most }: Span): number {
    return least + this.options.random.uniform() * (most - least);
  }
}
