/**
 * Plug-ins for planned stops. The first gathers the marks, and starts before those that heed them; the
 * second follows the stop of this process, and starts after those that know the work in flight.
 */
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { RemainingWork } from '@poplarpick/decisions';
import {
  admissionKey,
  configurationKey,
  dispatcherKey,
  hostDirectoryKey,
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
      stops.setConfigured(configuration.planned_stops.map((line) => line.target));
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
  private watch: DrainMonitor | undefined;

  /** The work that this process has to finish. */
  protected abstract readWork(kernel: Kernel): RemainingWork;

  override async start(kernel: Kernel): Promise<void> {
    const { clock, log, host } = kernel;
    const endpoint =
      kernel.role === Role.Sidecar ? kernel.resolve(sidecarSettingsKey).endpoint.name : undefined;
    const watch = new DrainMonitor({
      subject: { host, endpoint },
      clock,
      log,
      readWork: () => this.readWork(kernel),
    });
    this.watch = watch;
    kernel.resolve(plannedStopsKey).onChange((marks) => watch.update(marks));
    kernel.resolve(statusBoardKey).add('drain', () => watch.readStatus());
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.watch?.close();
    return Promise.resolve();
  }
}

class RouterDrainPlugin extends DrainPlugin {
  override readonly name = 'router-drain';
  override readonly roles = [Role.Router];
  override readonly requires = ['planned-stops', 'status', 'router'];

  protected override readWork(kernel: Kernel): RemainingWork {
    return { inFlight: kernel.resolve(dispatcherKey).readStatus().open, unsettled: 0 };
  }
}

class SidecarDrainPlugin extends DrainPlugin {
  override readonly name = 'sidecar-drain';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['planned-stops', 'status', 'sidecar'];

  protected override readWork(kernel: Kernel): RemainingWork {
    const { running, kept } = kernel.resolve(admissionKey).readStatus();
    return { inFlight: running, unsettled: kept - running };
  }
}

registerPlugin(() => new PlannedStopsPlugin());
registerPlugin(() => new RouterDrainPlugin());
registerPlugin(() => new SidecarDrainPlugin());
