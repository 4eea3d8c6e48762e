/** Plug-in that periodically sends metrics that are not tied to an event: control bytes and queue depth. */
import { Metric, Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel, Timer } from '@poplarpick/kernel';
import { dispatcherKey, linkTrafficKey, listenersKey } from '../component-keys.ts';

const PERIOD_MS = 10_000;

class PeriodicMetricsPlugin extends Plugin {
  override readonly name = 'measures';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['links', 'configuration'];
  private timer: Timer | undefined;
  private reportedBytes = 0;

  override async start(kernel: Kernel): Promise<void> {
    this.timer = kernel.clock.every(PERIOD_MS, () => this.sendMetrics(kernel));
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.timer?.stop();
    return Promise.resolve();
  }

  private sendMetrics(kernel: Kernel): void {
    const { controlBytes, receivedControlBytes } = kernel.resolve(linkTrafficKey);
    const bytes = controlBytes + receivedControlBytes;
    kernel.metrics.increment(Metric.ControlBytes, bytes - this.reportedBytes);
    this.reportedBytes = bytes;
    kernel.metrics.gauge(Metric.HeldBytes, kernel.resolve(listenersKey).budget.heldBytes);
    if (kernel.role !== Role.Router) return;
    const { backlog } = kernel.resolve(dispatcherKey).readStatus();
    const waiting = backlog.reduce((sum, entry) => sum + entry.count, 0);
    kernel.metrics.gauge(Metric.QueueDepth, waiting);
  }
}

registerPlugin(() => new PeriodicMetricsPlugin());
