/** Plug-in that measures service levels and reports them through the moleculer action `burn.show`. */
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import { configurationKey, requestRecorderKey } from '../component-keys.ts';
import { RequestRecorder } from './request-recorder.ts';
import { ServiceLevelMeter } from './service-level-meter.ts';

class BurnPlugin extends Plugin {
  override readonly name = 'burn';
  override readonly roles = [Role.Router];
  override readonly requires = ['configuration'];

  override async start(kernel: Kernel): Promise<void> {
    const { clock, log, host } = kernel;
    const meter = new ServiceLevelMeter({ host, clock });
    kernel.provide(requestRecorderKey, new RequestRecorder({ meter, clock, log }));
    kernel
      .resolve(configurationKey)
      .onChange(({ configuration }) => meter.configure(configuration));
    kernel.broker.createService({ name: 'burn', actions: { show: () => meter.read() } });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

registerPlugin(() => new BurnPlugin());
