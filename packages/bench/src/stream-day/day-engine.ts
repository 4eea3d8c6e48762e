/** An engine of a day: a process of its own, its entry in the store, and for some a fault proxy before it. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { FaultProxy } from '@poplarpick/stand-ins';
import type { PlatformStore } from '@poplarpick/stand-ins';
import type { ConductPlan, EngineRecord } from '@poplarpick/stand-ins/stream-engine/engine-conduct';
import type { StreamEngineOptions } from '@poplarpick/stand-ins/stream-engine/stream-engine';
import type { DayService } from './day-plan.ts';

/** Options of a `DayEngine`. */
export interface DayEngineOptions {
  service: DayService;
  /** Bundled program of the engine. */
  program: string;
  host: string;
  store: PlatformStore;
  zone: string;
  seed: number;
  /** Whether routers reach it through a fault proxy. */
  isProxied: boolean;
  /** Share of the answers that have neither a length nor chunks. */
  unframedShare: number | undefined;
  onRecord: (record: EngineRecord) => void;
}

const FIRST_PORT = 8_080;
const HEARTBEAT_MS = 1_200;
/** Heartbeats after which the entry of a silent engine is removed. */
const MISSED_HEARTBEATS = 3;
const SLOTS = 32;

/** The place of one engine, in which one process follows another. */
export class DayEngine {
  readonly options: DayEngineOptions;
  readonly index: number;
  /** Software version, as a number. */
  version = 1;
  proxy: FaultProxy | undefined;
  private generation = 0;
  private child: ChildProcess | undefined;
  private born = 0;
  private sequence = 0;
  private state = 'ready';
  private isPaused = false;
  private plan: ConductPlan | undefined;
  private missedBeats = 0;
  private beats: NodeJS.Timeout | undefined;

  constructor(index: number, options: DayEngineOptions) {
    this.index = index;
    this.options = options;
  }

  get id(): string {
    return `${this.options.service}-${this.index}-${this.generation}`;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Address that routers use. */
  get address(): string {
    return this.proxy?.address ?? `${this.options.host}:${this.port}`;
  }

  async start(): Promise<void> {
    if (this.options.isProxied && this.proxy === undefined) await this.startProxy();
    await this.startProcess();
    this.beats ??= setInterval(() => this.beat(), HEARTBEAT_MS);
    this.register();
  }

  /** Ends the process at once; the entry stays until the heartbeats are missed. */
  async kill(): Promise<void> {
    const { child } = this;
    this.child = undefined;
    this.missedBeats = 0;
    if (child === undefined) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }

  /** Starts the process again under its id. */
  async restart(version = this.version): Promise<void> {
    this.version = version;
    await this.start();
  }

  /** Starts another engine in this place, under a new id and at a new address, and forgets the one before. */
  async replace(version = this.version): Promise<void> {
    this.options.store.remove(`servers/${this.id}`);
    this.proxy?.stop();
    this.proxy = undefined;
    this.generation += 1;
    this.version = version;
    this.state = 'ready';
    await this.start();
  }

  /** Says in the store that the engine is about to leave. */
  drain(): void {
    this.state = 'draining';
    this.register();
  }

  /** Whether the process is stopped for a while, by a signal. */
  set paused(isPaused: boolean) {
    this.isPaused = isPaused;
    this.child?.kill(isPaused ? 'SIGSTOP' : 'SIGCONT');
  }

  /** How the engine answers; also after it was started again. */
  set conducts(plan: ConductPlan) {
    this.plan = plan;
    this.child?.stdin?.write(`${JSON.stringify(plan)}\n`);
  }

  async stop(): Promise<void> {
    clearInterval(this.beats);
    await this.kill();
    this.proxy?.stop();
  }

  private get port(): number {
    return FIRST_PORT + this.generation;
  }

  private async startProxy(): Promise<void> {
    const target = `${this.options.host}:${this.port}`;
    this.proxy = await new FaultProxy({ target, passesResets: true }).start();
  }

  private async startProcess(): Promise<void> {
    const { host, program, seed, unframedShare } = this.options;
    this.born = Date.now();
    const options: StreamEngineOptions = {
      id: this.id,
      version: `v${this.version}`,
      born: this.born,
      host,
      port: this.port,
      seed: seed + this.index,
      slots: SLOTS,
      ...(unframedShare === undefined ? {} : { unframedShare }),
    };
    const child = spawn(process.execPath, [program], {
      env: { STREAM_ENGINE_OPTIONS: JSON.stringify(options) },
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    child.stdin.on('error', () => undefined);
    const lines = createInterface({ input: child.stdout });
    const listening = once(lines, 'line');
    lines.on('line', (line) => this.readLine(line));
    const failed = once(child, 'exit').then(() =>
      Promise.reject(new Error(`${this.id} has ended`)),
    );
    await Promise.race([listening, failed]);
    failed.catch(() => undefined);
    this.child = child;
    this.isPaused = false;
    if (this.plan !== undefined) this.conducts = this.plan;
  }

  private readLine(line: string): void {
    // A line may be cut by a kill.
    if (!line.startsWith('{') || !line.endsWith('}') || !line.includes('"attempt"')) return;
    this.options.onRecord(JSON.parse(line) as EngineRecord);
  }

  private beat(): void {
    if (this.child !== undefined && !this.isPaused) {
      this.register();
      return;
    }
    this.missedBeats += 1;
    if (this.missedBeats === MISSED_HEARTBEATS) this.options.store.remove(`servers/${this.id}`);
  }

  private register(): void {
    const { service, store, zone } = this.options;
    const { address, born, id, state } = this;
    this.sequence += 1;
    this.missedBeats = 0;
    store.put(`servers/${id}`, {
      service,
      address,
      zone,
      version: `v${this.version}`,
      slots: SLOTS,
      state,
      coldRemainingMs: 0,
      seq: this.sequence,
      born,
    });
  }
}
