/**
 * The kernel starts and stops the plug-ins of one process. Plug-ins register themselves when their
 * module is imported; a kernel starts those of its role in dependency order. It runs them on a
 * moleculer broker without a transporter, so the library's clustering is not used.
 */
import { ServiceBroker } from 'moleculer';
import type { Clock } from './clock.ts';
import { SystemClock } from './clock.ts';
import { createLogger } from './log.ts';
import type { Logger } from './log.ts';
import { NoopMetrics } from './metrics.ts';
import type { Metrics } from './metrics.ts';
import { describeError } from './task.ts';

/** The role of a process, which selects the plug-ins that it starts. */
export enum Role {
  Router = 'router',
  Sidecar = 'sidecar',
}

/** A module of a process with its own start, open, drain and stop steps. */
export abstract class Plugin {
  /** Unique name, used in `requires` and in logs. */
  abstract readonly name: string;
  /** Roles that start this plug-in. */
  abstract readonly roles: readonly Role[];
  /** Names of the plug-ins that must start before this one. */
  readonly requires: readonly string[] = [];

  /** Sets the plug-in up. It must not listen yet, since later plug-ins may still add handlers. */
  abstract start(kernel: Kernel): Promise<void>;

  /** Starts listening and opens connections; called once every plug-in has started. */
  async open(): Promise<void> {
    return Promise.resolve();
  }

  /** Waits for work in flight to finish; called on all plug-ins before any is stopped. */
  async drain(): Promise<void> {
    return Promise.resolve();
  }

  abstract stop(): Promise<void>;
}

/** Creates a plug-in; each kernel gets its own instance. */
export type PluginFactory = () => Plugin;

const registeredFactories: PluginFactory[] = [];

/** Registers a plug-in; called by the plug-in's own module when it is imported. */
export function registerPlugin(factory: PluginFactory): void {
  registeredFactories.push(factory);
}

/** Options of a `Kernel`. */
export interface KernelOptions {
  role: Role;
  host: string;
  clock?: Clock;
  log?: Logger;
  metrics?: Metrics;
  /** Factories of the available plug-ins; by default all that are registered. */
  plugins?: readonly PluginFactory[];
}

/** Runs the plug-ins of one router or sidecar. Tests and the demo run several kernels in one process. */
export class Kernel {
  readonly role: Role;
  readonly host: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly broker: ServiceBroker;
  private readonly components = new Map<symbol, unknown>();
  private readonly pluginFactories: readonly PluginFactory[];
  private started: Plugin[] = [];

  constructor(options: KernelOptions) {
    this.role = options.role;
    this.host = options.host;
    this.clock = options.clock ?? new SystemClock();
    this.log = options.log ?? createLogger({ host: options.host });
    this.metrics = options.metrics ?? new NoopMetrics();
    this.pluginFactories = options.plugins ?? registeredFactories;
    this.broker = new ServiceBroker({
      nodeID: options.host,
      logger: false,
      registry: { discoverer: 'Local' },
      skipProcessEventRegistration: true,
    });
  }

  /** Registers a component for the plug-ins that start later. */
  provide<Component>(key: ComponentKey<Component>, component: Component): void {
    this.components.set(key.symbol, component);
  }

  /** Returns a component that an earlier plug-in provided. Throws if there is none. */
  resolve<Component>(key: ComponentKey<Component>): Component {
    if (!this.components.has(key.symbol))
      throw new Error(`component ${key.symbol.description ?? ''} has not been provided`);
    return this.components.get(key.symbol) as Component;
  }

  /** Starts the plug-ins of this kernel's role, then the broker. */
  async start(): Promise<void> {
    const plugins = this.pluginFactories.map((createPlugin) => createPlugin());
    for (const plugin of orderPlugins(plugins.filter(({ roles }) => roles.includes(this.role)))) {
      // Recorded before it starts, so that `stop` also cleans up a plug-in whose start failed.
      this.started.push(plugin);
      await plugin.start(this);
    }
    await this.broker.start();
    for (const plugin of this.started) await plugin.open();
    this.log.info({ event: 'process.started', role: this.role, pid: process.pid });
  }

  /** Waits for the work in flight to finish, then stops all plug-ins. */
  async drain(): Promise<void> {
    this.log.info({ event: 'process.draining' });
    await Promise.all(this.started.map((plugin) => plugin.drain()));
    await this.stop();
  }

  /** Stops all plug-ins without waiting for work in flight, the last started first. */
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

/** Typed key under which a component is provided and resolved. */
export interface ComponentKey<Component> {
  readonly symbol: symbol;
  /** Never set; carries the component's type for the compiler. */
  readonly type?: Component;
}

/** Creates a key; `name` appears in error messages only. */
export function createComponentKey<Component>(name: string): ComponentKey<Component> {
  return { symbol: Symbol(name) };
}

/** Sorts plug-ins topologically by `requires`. Throws on a cycle or a missing plug-in. */
export function orderPlugins(plugins: readonly Plugin[]): Plugin[] {
  const ordered: Plugin[] = [];
  const visiting = new Set<string>();
  const visit = (plugin: Plugin): void => {
    if (ordered.includes(plugin)) return;
    if (visiting.has(plugin.name)) throw new Error(`plug-in ${plugin.name} requires itself`);
    visiting.add(plugin.name);
    for (const name of plugin.requires) visit(findPlugin(plugins, name, plugin.name));
    visiting.delete(plugin.name);
    ordered.push(plugin);
  };
  plugins.forEach(visit);
  return ordered;
}

function findPlugin(plugins: readonly Plugin[], name: string, requiredBy: string): Plugin {
  const found = plugins.find((plugin) => plugin.name === name);
  if (found === undefined)
    throw new Error(`plug-in ${requiredBy} requires ${name}, which is missing`);
  return found;
}
