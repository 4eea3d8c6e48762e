/**
 * The kernel starts the plug-ins of one process. Plug-ins register themselves when their module is
 * imported; a kernel starts those that serve its role, in the order of their requirements, on a
 * moleculer broker without transporter, so nothing of the library's clustering is in use.
 */
import { ServiceBroker } from 'moleculer';
import type { Clock } from './clock.ts';
import { SystemClock } from './clock.ts';
import { createLogger } from './log.ts';
import type { Logger } from './log.ts';
import { NoopMetrics } from './metrics.ts';
import type { Metrics } from './metrics.ts';
import { describeError } from './task.ts';

/** What a process of the system does. */
export enum Role {
  Router = 'router',
  Sidecar = 'sidecar',
}

/** A part of a process that is started and stopped as one. */
export abstract class Plugin {
  /** Unique name, for requirements and logs. */
  abstract readonly name: string;
  /** Roles that start this plug-in. */
  abstract readonly roles: readonly Role[];
  /** Names of the plug-ins that must have started before. */
  readonly requires: readonly string[] = [];

  /** Sets the plug-in up; opens no address yet, since later plug-ins may still add handlers. */
  abstract start(kernel: Kernel): Promise<void>;

  /** Opens addresses and connections; called once every plug-in has started. */
  async open(): Promise<void> {
    return Promise.resolve();
  }

  /** Finishes work in flight; called on all plug-ins before any is stopped. */
  async drain(): Promise<void> {
    return Promise.resolve();
  }

  abstract stop(): Promise<void>;
}

/** Makes a plug-in; each kernel gets an instance of its own. */
export type PluginFactory = () => Plugin;

const pluginMakers: PluginFactory[] = [];

/** Registers a plug-in; called by the plug-in's own module when it is imported. */
export function registerPlugin(maker: PluginFactory): void {
  pluginMakers.push(maker);
}

/** Options of a `Kernel`. */
export interface KernelOptions {
  role: Role;
  host: string;
  clock?: Clock;
  log?: Logger;
  metrics?: Metrics;
  /** Plug-ins to choose from; all that are registered by default. */
  plugins?: readonly PluginFactory[];
}

/** One process of the system (a test or the demo may run several in one process). */
export class Kernel {
  readonly role: Role;
  readonly host: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly broker: ServiceBroker;
  private readonly parts = new Map<symbol, unknown>();
  private readonly pluginMakers: readonly PluginFactory[];
  private started: Plugin[] = [];

  constructor(options: KernelOptions) {
    this.role = options.role;
    this.host = options.host;
    this.clock = options.clock ?? new SystemClock();
    this.log = options.log ?? createLogger({ host: options.host });
    this.metrics = options.metrics ?? new NoopMetrics();
    this.pluginMakers = options.plugins ?? pluginMakers;
    this.broker = new ServiceBroker({
      nodeID: options.host,
      logger: false,
      registry: { discoverer: 'Local' },
      skipProcessEventRegistration: true,
    });
  }

  /** Makes a part of this process known to the plug-ins that start later. */
  provide<Part>(key: ComponentKey<Part>, part: Part): void {
    this.parts.set(key.symbol, part);
  }

  /** A part that an earlier plug-in has provided. Throws if there is none. */
  resolve<Part>(key: ComponentKey<Part>): Part {
    if (!this.parts.has(key.symbol)) throw new Error(`no part ${key.symbol.description ?? ''}`);
    return this.parts.get(key.symbol) as Part;
  }

  /** Starts the plug-ins of this kernel's role, then the broker. */
  async start(): Promise<void> {
    const plugins = this.pluginMakers.map((make) => make());
    for (const plugin of orderPlugins(plugins.filter(({ roles }) => roles.includes(this.role)))) {
      // Noted first, so that a plug-in that fails half-way is stopped too.
      this.started.push(plugin);
      await plugin.start(this);
    }
    await this.broker.start();
    for (const plugin of this.started) await plugin.open();
    this.log.info({ event: 'process.started', role: this.role, pid: process.pid });
  }

  /** Finishes the work in flight, then stops everything. */
  async drain(): Promise<void> {
    this.log.info({ event: 'process.draining' });
    await Promise.all(this.started.map((plugin) => plugin.drain()));
    await this.stop();
  }

  /** Stops everything at once, the last started first. */
  async stop(): Promise<void> {
    const plugins = this.started.reverse();
    this.started = [];
    for (const plugin of plugins) {
      await plugin.stop().catch((error: unknown) => {
        this.log.error({
          event: 'plugin.stop_failed',
          plugin: plugin.name,
          error: describeError(error),
        });
      });
    }
    await this.broker.stop();
    this.metrics.close();
    this.log.info({ event: 'process.stopped' });
  }
}

/** Names a part of a kernel together with its type. */
export interface ComponentKey<Part> {
  readonly symbol: symbol;
  /** Carries the type only. */
  readonly type?: Part;
}

/** Makes the key of a part. */
export function createComponentKey<Part>(name: string): ComponentKey<Part> {
  return { symbol: Symbol(name) };
}

/** Sorts plug-ins so that each comes after those it requires. Throws on a cycle or a missing one. */
export function orderPlugins(plugins: readonly Plugin[]): Plugin[] {
  const ordered: Plugin[] = [];
  const open = new Set<string>();
  const visit = (plugin: Plugin): void => {
    if (ordered.includes(plugin)) return;
    if (open.has(plugin.name)) throw new Error(`plug-in ${plugin.name} requires itself`);
    open.add(plugin.name);
    for (const name of plugin.requires) visit(findPlugin(plugins, name, plugin.name));
    open.delete(plugin.name);
    ordered.push(plugin);
  };
  plugins.forEach(visit);
  return ordered;
}

function findPlugin(plugins: readonly Plugin[], name: string, wantedBy: string): Plugin {
  const found = plugins.find((plugin) => plugin.name === name);
  if (found === undefined)
    throw new Error(`plug-in ${wantedBy} requires ${name}, which is missing`);
  return found;
}
