/** Plug-in that provides the transport for links: mutual TLS, or plain TCP if the settings say so. */
import { TrustMode } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import {
  identityKey,
  routerSettingsKey,
  sidecarSettingsKey,
  transportKey,
} from '../component-keys.ts';
import { TlsCredentialFiles } from './tls-credential-files.ts';
import { MutualTlsTransport, PlainTransport } from './transport.ts';
import type { Transport } from './transport.ts';

class TrustPlugin extends Plugin {
  override readonly name = 'trust';
  override readonly roles = [Role.Router, Role.Sidecar];
  private transport: Transport | undefined;

  override async start(kernel: Kernel): Promise<void> {
    this.transport = await createTransport(kernel);
    kernel.provide(transportKey, this.transport);
  }

  override async stop(): Promise<void> {
    this.transport?.stop();
    return Promise.resolve();
  }
}

async function createTransport(kernel: Kernel): Promise<Transport> {
  const { trust } =
    kernel.role === Role.Router
      ? kernel.resolve(routerSettingsKey)
      : kernel.resolve(sidecarSettingsKey);
  const { clock, log, metrics } = kernel;
  if (trust.mode === TrustMode.None) {
    log.warn({ event: 'trust.off' });
    return new PlainTransport();
  }
  const { ca, certificate, key } = trust;
  const credentialFiles = await TlsCredentialFiles.open({
    paths: { ca, certificate, key },
    warningDays: trust.expiry_warning_days,
    clock,
    log,
    metrics,
  });
  return new MutualTlsTransport({ fleet: kernel.resolve(identityKey).fleet, credentialFiles, log });
}

registerPlugin(() => new TrustPlugin());
