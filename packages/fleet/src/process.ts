/** Starts the processes of the fleet, a router or a sidecar, from validated settings. */
import { v7 as makeUuid } from 'uuid';
import {
  createLogger,
  Kernel,
  LogLevel,
  Role,
  NoopMetrics,
  StatsdMetrics,
  SystemClock,
} from '@poplarpick/kernel';
import type { Logger, Metrics } from '@poplarpick/kernel';
import { getHeapStatistics } from 'node:v8';
import { budgetOfHeap, TraceStore } from '@poplarpick/decisions';
import type { RouterSettings, SidecarSettings } from '@poplarpick/decisions';
import { parseAddress } from './address.ts';
import { TracingLogger } from './explain/tracing-logger.ts';
import { createLinkTraffic } from './link/link.ts';
import { PressureMetrics } from './listening/pressure-metrics.ts';
import { ProcessListeners } from './listening/process-listeners.ts';
import {
  identityKey,
  routerSettingsKey,
  sidecarSettingsKey,
  traceStoreKey,
  linkTrafficKey,
  listenersKey,
} from './component-keys.ts';
import './trust/app.ts';
import './link/app.ts';
import './configuration/app.ts';
import './membership/app.ts';
import './planned-stop/app.ts';
import './router/app.ts';
import './callers/app.ts';
import './sidecar/app.ts';
import './currency/app.ts';
import './orders/app.ts';
import './ledger/app.ts';
import './burn/app.ts';
import './explain/app.ts';
import './operators/app.ts';
import './operators/periodic-metrics.ts';

const BYTES_PER_MB = 1_024 * 1_024;

/** Memory of a process besides its heap and what it holds for callers, in bytes: its code, mostly. */
const BYTES_BESIDE_HEAP = 16 * BYTES_PER_MB;

/** Options of `startRouter` and `startSidecar`. */
export interface ProcessOptions {
  log?: Logger;
}

/** Starts a router. Rejects if a plug-in fails to start, such as when an address cannot be bound. */
export async function startRouter(
  settings: RouterSettings,
  options: ProcessOptions = {},
): Promise<Kernel> {
  const kernel = createKernel(Role.Router, settings, options);
  kernel.provide(routerSettingsKey, settings);
  return startKernel(kernel);
}

/** Starts a sidecar. Rejects if a plug-in fails to start, such as when an address cannot be bound. */
export async function startSidecar(
  settings: SidecarSettings,
  options: ProcessOptions = {},
): Promise<Kernel> {
  const kernel = createKernel(Role.Sidecar, settings, options);
  kernel.provide(sidecarSettingsKey, settings);
  return startKernel(kernel);
}

function createKernel(
  role: Role,
  settings: RouterSettings | SidecarSettings,
  options: ProcessOptions,
): Kernel {
  const level =
    Object.values(LogLevel).find((entry) => entry === settings.log.level) ?? LogLevel.Info;
  const clock = new SystemClock();
  const traceStore = new TraceStore();
  const baseLog = options.log ?? createLogger({ host: settings.host, level });
  const log = new TracingLogger({ log: baseLog, traceStore, clock });
  const metrics = createMetrics(settings);
  const kernel = new Kernel({ role, host: settings.host, clock, log, metrics });
  kernel.provide(traceStoreKey, traceStore);
  kernel.provide(identityKey, {
    fleet: settings.fleet,
    host: settings.host,
    dataCentre: settings.data_centre,
    incarnation: makeUuid(),
  });
  kernel.provide(linkTrafficKey, createLinkTraffic());
  const budgetBytes = readBudget(settings);
  const { heap_size_limit: heapBytes } = getHeapStatistics();
  const memoryBytes = heapBytes + budgetBytes + BYTES_BESIDE_HEAP;
  const listeners = new ProcessListeners({ clock, log, budgetBytes, memoryBytes });
  listeners.addRecorder(new PressureMetrics(metrics));
  kernel.provide(listenersKey, listeners);
  return kernel;
}

/** Memory that may be held for callers, in bytes. */
function readBudget({ limits }: RouterSettings | SidecarSettings): number {
  if (limits.held_mb !== undefined) return limits.held_mb * BYTES_PER_MB;
  return budgetOfHeap(getHeapStatistics().heap_size_limit);
}

function createMetrics(settings: RouterSettings | SidecarSettings): Metrics {
  if (settings.metrics === undefined) return new NoopMetrics();
  const { ip, port } = parseAddress(settings.metrics.statsd);
  return new StatsdMetrics({
    ip,
    port,
    tags: { host: settings.host, data_centre: settings.data_centre },
  });
}

/** Starts a kernel. If a plug-in fails to start, stops those that have started, so none keeps running. */
async function startKernel(kernel: Kernel): Promise<Kernel> {
  try {
    await kernel.start();
  } catch (error) {
    await kernel.stop();
    throw error;
  }
  return kernel;
}
