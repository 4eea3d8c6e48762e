/**
 * Plug-ins for planned stops. `PlannedStopsPlugin` collects the marks and starts before the plug-ins that
 * react to them. `DrainPlugin` tracks the drain of this process and starts after the plug-ins that
 * count the work in flight.
 */
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { RemainingWork } from '@poplarpick/decisions';
import {
  admissionKey,
  configurationKey,
  dispatcherKey,
  hostDirectoryKey,
  openExchangesKey,
  plannedStopsKey,
  sidecarSettingsKey,
  statusBoardKey,
} from '../component-keys.ts';
import { HostState } from '../platform/host-list-client.ts';
import { DrainMonitor } from './drain-monitor.ts';
import { PlannedStops } from './planned-stops.ts';

class PlannedStopsPlugin extends Plugin {
  override readonly name = 'planned-stops';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['links', 'configuration'];

  override async start(kernel: Kernel): Promise<void> {
    const stops = new PlannedStops();
    kernel.provide(plannedStopsKey, stops);
    kernel.resolve(configurationKey).onChange(({ configuration }) => {
      stops.setConfigured(configuration.planned_stops.map((entry) => entry.target));
    });
    kernel.resolve(hostDirectoryKey).onChange((hosts) => {
      const leaving = hosts.filter((host) => host.state === HostState.Leaving);
      stops.setLeaving(leaving.map((host) => host.id));
    });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

abstract class DrainPlugin extends Plugin {
  private monitor: DrainMonitor | undefined;

  /** The work that this process must finish before it can stop. */
  protected abstract readRemainingWork(kernel: Kernel): RemainingWork;

  override async start(kernel: Kernel): Promise<void> {
    const { clock, log, host } = kernel;
    const endpoint =
      kernel.role === Role.Sidecar ? kernel.resolve(sidecarSettingsKey).endpoint.name : undefined;
    const monitor = new DrainMonitor({
      subject: { host, endpoint },
      clock,
      log,
      readRemainingWork: () => this.readRemainingWork(kernel),
    });
    this.monitor = monitor;
    kernel.resolve(plannedStopsKey).onChange((marks) => monitor.update(marks));
    kernel.resolve(statusBoardKey).add('drain', () => monitor.readStatus());
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.monitor?.close();
    return Promise.resolve();
  }
}

class RouterDrainPlugin extends DrainPlugin {
  override readonly name = 'router-drain';
  override readonly roles = [Role.Router];
  override readonly requires = ['planned-stops', 'status', 'router', 'callers'];

  protected override readRemainingWork(kernel: Kernel): RemainingWork {
    const { open } = kernel.resolve(dispatcherKey).readStatus();
    const { size } = kernel.resolve(openExchangesKey);
    // One whose caller has left is open only in the queues, one that isn't whole only with its caller.
    return { inFlight: Math.max(open, size), unsettled: 0 };
  }
}

class SidecarDrainPlugin extends DrainPlugin {
  override readonly name = 'sidecar-drain';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['planned-stops', 'status', 'sidecar'];

  protected override readRemainingWork(kernel: Kernel): RemainingWork {
    const { running, kept } = kernel.resolve(admissionKey).readStatus();
    return { inFlight: running, unsettled: kept - running };
  }
}

registerPlugin(() => new PlannedStopsPlugin());
registerPlugin(() => new RouterDrainPlugin());
registerPlugin(() => new SidecarDrainPlugin());
