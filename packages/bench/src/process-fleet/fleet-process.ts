/** One process of the system under test, started from the bundled program and observed through its log. */
import { spawn } from 'node:child_process';
import type { ChildProcess, StdioOptions } from 'node:child_process';
import { rmSync, writeFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import logfmt from 'logfmt';

/** The single-file binary, which `npm run build` creates. */
const BINARY = fileURLToPath(new URL('../../../../dist/poplarpick', import.meta.url));

/** The bundled program, which `npm run bundle` creates. */
const PROGRAM = fileURLToPath(new URL('../../../../dist/poplarpick.cjs', import.meta.url));

const MAX_RETAINED_EVENTS = 5_000;

/** The fields of a log line of a process. */
export type LoggedEvent = Record<string, string>;

/** Exit code or signal with which a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** Options of a `FleetProcess`. */
export interface FleetProcessOptions {
  /** Subcommand of the program, such as `router`. */
  command: string;
  settingsFile: string;
  settings: string;
  nodeOptions?: string[];
  /** Runs the binary instead of the bundled program; the binary ignores `nodeOptions`. */
  binary?: boolean;
}

interface EventWaiter {
  matches: (event: LoggedEvent) => boolean;
  resolve: (event: LoggedEvent) => void;
}

/** A running process; its parsed log lines are kept in `events`, up to a limit. */
export class FleetProcess {
  readonly events: LoggedEvent[] = [];
  readonly exited: Promise<ProcessExit>;
  private readonly options: FleetProcessOptions;
  private readonly child: ChildProcess;
  private readonly waiters = new Set<EventWaiter>();

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

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Kills the process, waits for its exit and removes its settings file. */
  async kill(): Promise<void> {
    if (!this.hasExited) this.child.kill('SIGKILL');
    await this.exited;
    rmSync(this.options.settingsFile, { force: true });
  }

  /** Waits for an event of that name; see `waitForEvent`. */
  async waitFor(name: string, timeoutMs = 20_000): Promise<LoggedEvent> {
    return this.waitForEvent((event) => event['event'] === name, name, timeoutMs);
  }

  /**
   * Returns the first event, past or future, that matches. Rejects after `timeoutMs`, or when the process
   * exits.
   */
  async waitForEvent(
    matches: (event: LoggedEvent) => boolean,
    description: string,
    timeoutMs = 20_000,
  ): Promise<LoggedEvent> {
    const past = this.events.find(matches);
    if (past !== undefined) return past;
    return new Promise((resolve, reject) => {
      const waiter = { matches, resolve };
      const fail = (reason: string): void => {
        this.waiters.delete(waiter);
        reject(
          new Error(
            `${this.options.command}: no event ${description}: ${reason}\n${this.formatRecentEvents()}`,
          ),
        );
      };
      const timer = setTimeout(() => fail('timed out'), timeoutMs);
      waiter.resolve = (event) => {
        clearTimeout(timer);
        resolve(event);
      };
      this.waiters.add(waiter);
      void this.exited.then(() => fail('the process has exited'));
    });
  }

  /** Formats the last events of the log for failure messages. */
  formatRecentEvents(lines = 10): string {
    return this.events
      .slice(-lines)
      .map((event) => JSON.stringify(event))
      .join('\n');
  }

  private readLog(): void {
    if (this.child.stderr === null) return;
    createInterface({ input: this.child.stderr }).on('line', (line) => this.handleLine(line));
  }

  private handleLine(line: string): void {
    const event = logfmt.parse(line) as LoggedEvent;
    if (event['event'] === undefined) event['text'] = line;
    this.events.push(event);
    if (this.events.length > MAX_RETAINED_EVENTS) this.events.splice(0, MAX_RETAINED_EVENTS / 2);
    for (const waiter of this.waiters) {
      if (!waiter.matches(event)) continue;
      this.waiters.delete(waiter);
      waiter.resolve(event);
    }
  }
}
