/** Plug-in of sidecars that sends orders to the model engine that the sidecar serves. */
import type { FleetConfiguration } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import {
  admissionKey,
  configurationKey,
  sidecarSettingsKey,
  statusBoardKey,
} from '../component-keys.ts';
import { EngineControlClient } from './engine-control-client.ts';
import { EngineReconciler } from './engine-reconciler.ts';
import { isLocalUrl } from './local-address.ts';

class OrdersPlugin extends Plugin {
  override readonly name = 'orders';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['sidecar', 'configuration', 'status'];
  private reconciler: EngineReconciler | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const { endpoint } = kernel.resolve(sidecarSettingsKey);
    const { clock, log, metrics } = kernel;
    const reconciler = new EngineReconciler({
      endpoint: endpoint.name,
      isLocal: isLocalUrl(endpoint.url),
      client: new EngineControlClient(endpoint.url),
      clock,
      log,
      metrics,
      readConfiguration: () => readConfirmedConfiguration(kernel),
    });
    this.reconciler = reconciler;
    kernel.resolve(statusBoardKey).add('orders', () => reconciler.readStatus());
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    await this.reconciler?.stop();
  }
}

/** The configuration in force, or undefined, so that no orders are sent, if it may be outdated. */
function readConfirmedConfiguration(kernel: Kernel): FleetConfiguration | undefined {
  const { confirmed } = kernel.resolve(admissionKey).readStatus().power;
  if (!confirmed) return undefined;
  return kernel.resolve(configurationKey).current?.configuration;
}

registerPlugin(() => new OrdersPlugin());
