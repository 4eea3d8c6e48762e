/** One process of the system under test: started from the bundled program, watched through its log. */
import { spawn } from 'node:child_process';
import type { ChildProcess, StdioOptions } from 'node:child_process';
import { rmSync, writeFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import logfmt from 'logfmt';

/** The binary; `npm run build` makes it. */
const BINARY = fileURLToPath(new URL('../../../../dist/poplarpick', import.meta.url));

/** The bundled program; `npm run bundle` makes it. */
const PROGRAM = fileURLToPath(new URL('../../../../dist/poplarpick.cjs', import.meta.url));

const KEPT_LINES = 5_000;

/** An event of a process's log. */
export type LoggedEvent = Record<string, string>;

/** How a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** Options of a `FleetProcess`. */
export interface FleetProcessOptions {
  /** Command of the program, such as `router`. */
  command: string;
  settingsFile: string;
  settings: string;
  nodeOptions?: string[];
  /** Runs the binary rather than the bundled program; it takes no options of Node.js. */
  binary?: boolean;
}

interface Waiter {
  matches: (event: LoggedEvent) => boolean;
  resolve: (event: LoggedEvent) => void;
}

/** Runs one process. */
export class FleetProcess {
  readonly events: LoggedEvent[] = [];
  readonly exited: Promise<ProcessExit>;
  private readonly options: FleetProcessOptions;
  private readonly child: ChildProcess;
  private readonly waiters = new Set<Waiter>();

  constructor(options: FleetProcessOptions) {
    this.options = options;
    writeFileSync(options.settingsFile, options.settings);
    const args = [options.command, '--settings', options.settingsFile];
    const stdio: StdioOptions = ['ignore', 'ignore', 'pipe'];
    this.child =
      options.binary === true
        ? spawn(BINARY, args, { stdio })
        : spawn(process.execPath, [...(options.nodeOptions ?? []), PROGRAM, ...args], { stdio });
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    this.readLog();
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    if (!this.hasExited) this.child.kill('SIGKILL');
    await this.exited;
    rmSync(this.options.settingsFile, { force: true });
  }

  /** The first event, past or to come, that matches. Rejects after `limitMs`, or when the process ends. */
  async waitFor(name: string, limitMs = 20_000): Promise<LoggedEvent> {
    return this.waitForEvent((event) => event['event'] === name, name, limitMs);
  }

  async waitForEvent(
    matches: (event: LoggedEvent) => boolean,
    description: string,
    limitMs = 20_000,
  ): Promise<LoggedEvent> {
    const past = this.events.find(matches);
    if (past !== undefined) return past;
    return new Promise((resolve, reject) => {
      const waiter = { matches, resolve };
      const fail = (reason: string): void => {
        this.waiters.delete(waiter);
        reject(
          new Error(`${this.options.command}: no event ${description}: ${reason}\n${this.tail()}`),
        );
      };
      const timer = setTimeout(() => fail('time is up'), limitMs);
      waiter.resolve = (event) => {
        clearTimeout(timer);
        resolve(event);
      };
      this.waiters.add(waiter);
      void this.exited.then(() => fail('process has ended'));
    });
  }

  /** The last lines of the log, for messages of failures. */
  tail(lines = 10): string {
    return this.events
      .slice(-lines)
      .map((event) => JSON.stringify(event))
      .join('\n');
  }

  private readLog(): void {
    if (this.child.stderr === null) return;
    createInterface({ input: this.child.stderr }).on('line', (line) => this.accept(line));
  }

  private accept(line: string): void {
    const event = logfmt.parse(line) as LoggedEvent;
    if (event['event'] === undefined) event['text'] = line;
    this.events.push(event);
    if (this.events.length > KEPT_LINES) this.events.splice(0, KEPT_LINES / 2);
    for (const waiter of this.waiters) {
      if (!waiter.matches(event)) continue;
      this.waiters.delete(waiter);
      waiter.resolve(event);
    }
  }
}
