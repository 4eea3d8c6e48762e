/** A router of the poison replay: the real guard and the real exchange of reports, without sockets. */
import { AttemptEvidence, PeerTable, PoisonGuard, ReportExchange } from '@poplarpick/forwarder';
import type { WatchedEndpoint } from '@poplarpick/forwarder';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import type { Clock, Timer } from '@poplarpick/kernel';
import { createRecord } from './replay-engine.ts';
import type { ReplayAttempt, ReplayEngine } from './replay-engine.ts';
import type { ReplayRequest } from './request-source.ts';

const TURN_MS = 100;

/** Options of a `ReplayRouter`. */
export interface ReplayRouterOptions {
  address: string;
  dataCentre: string;
  seeds: readonly string[];
  clock: Clock;
  /** Time to the first report, in ms. */
  firstTurnMs: number;
  transmit: (target: string, message: Buffer) => void;
  /** Source of random numbers in 0..1. */
  random: () => number;
}

/** One process of a router. */
export class ReplayRouter {
  readonly address: string;
  readonly dataCentre: string;
  readonly startedAt: number;
  readonly guard: PoisonGuard;
  readonly exchange: ReportExchange;
  /** Attempts that run. */
  readonly attempts = new Set<ReplayAttempt>();
  isRunning = true;
  private readonly clock: Clock;
  private readonly records = new Map<number, WatchedEndpoint>();
  private turns: Timer | undefined;

  constructor(options: ReplayRouterOptions) {
    const { address, dataCentre, clock } = options;
    const log = createLogger({ level: LogLevel.Silent });
    this.address = address;
    this.dataCentre = dataCentre;
    this.clock = clock;
    this.startedAt = clock.monotonic();
    this.guard = new PoisonGuard({
      clock,
      log,
      findEndpoint: (hash) => this.records.get(hash),
      random: options.random,
    });
    this.exchange = new ReportExchange({
      address,
      dataCentre,
      clock,
      log,
      table: new PeerTable(),
      buildReport: () => ({
        version: 1,
        loads: [],
        kept: [],
        lateRates: [],
        ...this.guard.buildReport(),
      }),
      onReport: (report) => this.guard.applyReport(report),
      onRejected: () => undefined,
      transmit: options.transmit,
    });
    this.exchange.setSeeds(options.seeds);
    clock.after(options.firstTurnMs, () => {
      this.turns = clock.every(TURN_MS, () => this.sendReports());
    });
  }

  /** What this router knows of an engine. */
  recordOf(engine: ReplayEngine): WatchedEndpoint {
    const { incarnationHash } = engine;
    const record = this.records.get(incarnationHash) ?? createRecord(engine);
    this.records.set(incarnationHash, record);
    return record;
  }

  evidenceOf({ hashes }: ReplayRequest): AttemptEvidence {
    const state = { poison: this.guard, clock: this.clock };
    return new AttemptEvidence({ state, suspectHashes: hashes });
  }

  /** Whether a failed request may be sent to another engine. */
  mayRepeat({ hashes }: ReplayRequest): boolean {
    return !this.guard.mayBePoison(hashes);
  }

  /** Ends the process, and with it its attempts. */
  kill(): void {
    this.isRunning = false;
    this.turns?.stop();
    for (const attempt of this.attempts) {
      attempt.isEnded = true;
      attempt.engine.attempts.delete(attempt);
    }
    this.attempts.clear();
  }

  private sendReports(): void {
    if (this.isRunning) this.exchange.send();
  }
}
