/**
 * Replay of the exchange of reports between the routers of a fleet, in simulated time and without sockets. The
 * routers run the real exchange; their datagrams are handed over in memory, where some are lost, delayed,
 * duplicated or cut off in one direction. Routers are killed, frozen, restarted and added. The replay measures
 * how old the load is that routers know of each other, and checks that all of them know the right load again
 * some time after the last failure.
 */
import { ReportExchange, PeerTable, reportSubject } from '@poplarpick/forwarder';
import type { PeerReport } from '@poplarpick/forwarder';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import { Random } from '@poplarpick/load';
import { ReplayClock } from '../admission/replay-clock.ts';

const TURN_MS = 100;
const STEP_MS = 5;
const SEEDS = 3;
const ENDPOINT_HASH = 1;
const START_SPREAD_MS = 300;
/** Time after the start after which the age of what routers know is measured, in ms. */
const WARM_UP_MS = 4_000;
/** Shares of a fleet that a failure affects. */
const FAILURE_SHARE = 0.3;
const FAILURE_MS = 2_500;
const MIN_FAILURE_GAP_MS = 1_500;

/** Options of an `ExchangeReplay`. */
export interface ExchangeReplayOptions {
  routers: number;
  dataCentres: number;
  seed: number;
  /** Fraction of lost datagrams. */
  loss: number;
  /** Time with failures, in ms. */
  durationMs: number;
  /** Time without failures at the end, in ms. */
  recoveryMs: number;
  /** Whether routers and links fail. */
  hasFailures: boolean;
}

/** What a replay measured. */
export interface ExchangeResult {
  /** Age of the load that routers know of others in their data centre, in ms. */
  localAgeMs: Percentiles;
  /** Age of the load that routers know of other data centres, in ms. */
  remoteAgeMs: Percentiles;
  datagramsPerRouterSecond: number;
  bytesPerRouterSecond: number;
  remoteBytesPerSecond: number;
  largestDatagram: number;
  /** Routers that don't know the load of the whole fleet at the end. */
  unconverged: string[];
}

/** Two percentiles of a sample. */
export interface Percentiles {
  p50: number;
  p99: number;
}

/** Failures of routers and links. */
enum Failure {
  Kill = 'kill',
  Freeze = 'freeze',
  OneWayCut = 'one-way cut',
  Partition = 'partition',
}

interface Datagram {
  arrivesAt: number;
  target: string;
  sender: string;
  message: Buffer;
}

/** One simulated router. Its load at the endpoint is the time of the report, so that it tells its age. */
class ReplayRouter {
  readonly address: string;
  readonly dataCentre: string;
  readonly clock = new ReplayClock();
  readonly table = new PeerTable();
  exchange: ReportExchange;
  nextTurnAt: number;
  isFrozen = false;
  /** Time at which it starts again; undefined while it runs. */
  restartsAt: number | undefined;

  constructor(address: string, dataCentre: string, nextTurnAt: number, network: ReplayNetwork) {
    this.address = address;
    this.dataCentre = dataCentre;
    this.nextTurnAt = nextTurnAt;
    this.exchange = this.createExchange(network);
  }

  createExchange(network: ReplayNetwork): ReportExchange {
    const exchange = new ReportExchange({
      address: this.address,
      dataCentre: this.dataCentre,
      clock: this.clock,
      log: createLogger({ level: LogLevel.Silent }),
      table: this.table,
      buildReport: () => ({
        version: 1,
        loads: [[ENDPOINT_HASH, 1, this.clock.nowMs, 0, 0]],
        workspaces: [['workspace', 1, 0, 0]],
        kept: [],
        lateRates: [],
        refused: [],
        draining: [],
      }),
      onReport: () => undefined,
      onRejected: () => undefined,
      transmit: (target, message) => network.send(this.address, target, message),
    });
    exchange.setSeeds(network.seeds);
    return exchange;
  }
}

/** Carries datagrams, and loses or delays some. */
class ReplayNetwork {
  readonly seeds: readonly string[];
  datagrams = 0;
  bytes = 0;
  remoteBytes = 0;
  largestDatagram = 0;
  /** Whether a datagram from one router to another is lost because of a cut. */
  isCut: (sender: string, target: string) => boolean = () => false;
  private readonly random: Random;
  private readonly loss: number;
  private readonly now: () => number;
  private queue: Datagram[] = [];

  constructor(options: { seeds: string[]; random: Random; loss: number; now: () => number }) {
    this.seeds = options.seeds;
    this.random = options.random;
    this.loss = options.loss;
    this.now = options.now;
  }

  send(sender: string, target: string, message: Buffer): void {
    this.datagrams += 1;
    this.bytes += message.length;
    if (dataCentreOf(sender) !== dataCentreOf(target)) this.remoteBytes += message.length;
    this.largestDatagram = Math.max(this.largestDatagram, message.length);
    if (this.random.uniform() < this.loss || this.isCut(sender, target)) return;
    const copies = this.random.uniform() < this.loss / 2 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isLate = this.random.uniform() < this.loss;
      const delayMs = 1 + this.random.uniform() * (isLate ? 300 : 4);
      this.queue.push({ arrivesAt: this.now() + delayMs, target, sender, message });
    }
  }

  /** Takes the datagrams that have arrived. */
  take(): Datagram[] {
    const now = this.now();
    const arrived = this.queue.filter(({ arrivesAt }) => arrivesAt <= now);
    this.queue = this.queue.filter(({ arrivesAt }) => arrivesAt > now);
    return arrived.sort((a, b) => a.arrivesAt - b.arrivesAt);
  }
}

/** One replay. */
export class ExchangeReplay {
  private readonly options: ExchangeReplayOptions;
  private readonly random: Random;
  private readonly network: ReplayNetwork;
  private readonly routers = new Map<string, ReplayRouter>();
  private readonly localAges: number[] = [];
  private readonly remoteAges: number[] = [];
  private nowMs = 0;
  private nextFailureAt = WARM_UP_MS;
  private endFailure: (() => void) | undefined;

  constructor(options: ExchangeReplayOptions) {
    this.options = options;
    this.random = new Random(options.seed);
    const addresses = Array.from({ length: options.routers }, (_, index) =>
      makeAddress(index, options.dataCentres),
    );
    this.network = new ReplayNetwork({
      seeds: addresses.slice(0, SEEDS),
      random: this.random,
      loss: options.loss,
      now: () => this.nowMs,
    });
    for (const address of addresses) {
      const startsAt = this.random.uniform() * START_SPREAD_MS;
      const router = new ReplayRouter(address, dataCentreOf(address), startsAt, this.network);
      this.routers.set(address, router);
    }
  }

  run(): ExchangeResult {
    const { durationMs, recoveryMs, routers } = this.options;
    const endsAt = durationMs + recoveryMs;
    for (this.nowMs = 0; this.nowMs < endsAt; this.nowMs += STEP_MS) this.step(durationMs);
    const seconds = endsAt / 1_000;
    return {
      localAgeMs: percentiles(this.localAges),
      remoteAgeMs: percentiles(this.remoteAges),
      datagramsPerRouterSecond: this.network.datagrams / routers / seconds,
      bytesPerRouterSecond: this.network.bytes / routers / seconds,
      remoteBytesPerSecond: this.network.remoteBytes / seconds,
      largestDatagram: this.network.largestDatagram,
      unconverged: this.findUnconverged(),
    };
  }

  private step(failuresEndAt: number): void {
    this.advanceFailures(failuresEndAt);
    for (const router of this.routers.values()) this.advance(router);
    for (const { target, sender, message } of this.network.take()) {
      const router = this.routers.get(target);
      if (router === undefined || router.isFrozen || router.restartsAt !== undefined) continue;
      router.exchange.receive(message, sender);
    }
    const isQuiet = this.endFailure === undefined && this.nowMs > WARM_UP_MS;
    if (isQuiet && this.nowMs % TURN_MS === 0) this.sampleAges();
  }

  private advance(router: ReplayRouter): void {
    if (router.restartsAt !== undefined) this.restartIfDue(router, router.restartsAt);
    if (router.isFrozen || router.restartsAt !== undefined) return;
    router.clock.nowMs = this.nowMs;
    if (this.nowMs < router.nextTurnAt) return;
    router.nextTurnAt += TURN_MS;
    router.exchange.send();
  }

  private restartIfDue(router: ReplayRouter, restartsAt: number): void {
    if (this.nowMs < restartsAt) return;
    const { address, dataCentre } = router;
    this.routers.set(address, new ReplayRouter(address, dataCentre, this.nowMs, this.network));
  }

  private advanceFailures(failuresEndAt: number): void {
    if (!this.options.hasFailures || this.nowMs < this.nextFailureAt) return;
    if (this.endFailure !== undefined) {
      this.endFailure();
      this.endFailure = undefined;
      this.nextFailureAt = this.nowMs + MIN_FAILURE_GAP_MS * (1 + this.random.uniform());
      return;
    }
    if (this.nowMs + FAILURE_MS > failuresEndAt) return;
    this.endFailure = this.beginFailure(this.random.pick(Object.values(Failure)));
    this.nextFailureAt = this.nowMs + FAILURE_MS;
  }

  /** Begins a failure; the returned function ends it. */
  private beginFailure(failure: Failure): () => void {
    const affected = [...this.routers.values()].filter(() => this.random.uniform() < FAILURE_SHARE);
    const addresses = new Set(affected.map(({ address }) => address));
    switch (failure) {
      case Failure.Kill:
        for (const router of affected) router.restartsAt = this.nowMs + FAILURE_MS / 2;
        return () => undefined;
      case Failure.Freeze:
        for (const router of affected) router.isFrozen = true;
        return () => {
          for (const router of affected) router.isFrozen = false;
        };
      case Failure.OneWayCut:
        this.network.isCut = (sender) => addresses.has(sender);
        break;
      case Failure.Partition:
        this.network.isCut = (sender, target) => addresses.has(sender) !== addresses.has(target);
    }
    return () => {
      this.network.isCut = () => false;
    };
  }

  private sampleAges(): void {
    const router = this.random.pick([...this.routers.values()]);
    for (const report of router.table.live(this.nowMs)) {
      const [load] = report.loads;
      if (load === undefined) continue;
      const ageMs = this.nowMs - load[2] / (report.routers ?? 1);
      const isLocal = report.dataCentre === router.dataCentre;
      (isLocal ? this.localAges : this.remoteAges).push(ageMs);
    }
  }

  /** Routers that don't know a load of each router, or whose knowledge is old. */
  private findUnconverged(): string[] {
    const total = this.routers.size;
    return [...this.routers.values()]
      .filter((router) => {
        const reports = router.table.live(this.nowMs);
        const pending = reports.reduce((sum, report) => sum + countPending(report), 1);
        const subjects = new Set(reports.map(reportSubject));
        return pending !== total || subjects.size !== reports.length;
      })
      .map(({ address }) => address);
  }
}

function countPending(report: PeerReport): number {
  return report.loads.reduce((sum, [, pending]) => sum + pending, 0);
}

/** An address whose second number is the data centre. */
function makeAddress(index: number, dataCentres: number): string {
  return `10.${index % dataCentres}.0.${Math.floor(index / dataCentres)}:7400`;
}

function dataCentreOf(address: string): string {
  return `dc-${address.split('.')[1]}`;
}

function percentiles(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (fraction: number): number =>
    Math.round(sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0);
  return { p50: at(0.5), p99: at(0.99) };
}
