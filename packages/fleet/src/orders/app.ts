/** Plug-in that gives orders to the model engine beside the sidecar. */
import type { FleetConfiguration } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import { admissionKey, configurationKey, sidecarSettingsKey, statusBoardKey } from '../parts.ts';
import { EngineControl } from './engine-control.ts';
import { EngineOrdering } from './engine-orders.ts';
import { isLocalUrl } from './local-address.ts';

class OrdersPlugin extends Plugin {
  override readonly name = 'orders';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['sidecar', 'configuration', 'status'];
  private ordering: EngineOrdering | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const { endpoint } = kernel.resolve(sidecarSettingsKey);
    const { clock, log, metrics } = kernel;
    const ordering = new EngineOrdering({
      endpoint: endpoint.name,
      isLocal: isLocalUrl(endpoint.url),
      control: new EngineControl(endpoint.url),
      clock,
      log,
      metrics,
      readConfiguration: () => readConfirmed(kernel),
    });
    this.ordering = ordering;
    kernel.resolve(statusBoardKey).add('orders', () => ordering.readStatus());
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    await this.ordering?.stop();
  }
}

/** A process that does not know whether its configuration is the latest gives no orders. */
function readConfirmed(kernel: Kernel): FleetConfiguration | undefined {
  const { confirmed } = kernel.resolve(admissionKey).readStatus().power;
  if (!confirmed) return undefined;
  return kernel.resolve(configurationKey).current?.configuration;
}

registerPlugin(() => new OrdersPlugin());
