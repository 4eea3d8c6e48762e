/** Plug-in that runs a sidecar's admission and connects it with the links and the configuration. */
import { EndpointKind, findStopSource } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { LinkHub } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';
import {
  admissionKey,
  configurationKey,
  linkHubKey,
  plannedStopsKey,
  sidecarSettingsKey,
  statusBoardKey,
} from '../component-keys.ts';
import { Admission } from './admission.ts';
import { AdmissionMessageKind } from './admission-messages.ts';
import { ApplicationClient } from './application-client.ts';
import { EndpointClient } from './endpoint-client.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import type { Job } from '../messages.ts';
import { LedgerReporter } from './ledger-reporter.ts';
import { LoadWatch } from './load-watch.ts';
import { ModelEngineClient } from './model-engine-client.ts';
import { ServiceMeter } from './service-meter.ts';

class SidecarPlugin extends Plugin {
  override readonly name = 'sidecar';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['links', 'configuration', 'planned-stops'];
  private admission: Admission | undefined;
  private client: EndpointClient | undefined;
  private reporter: LedgerReporter | undefined;
  private loadWatch: LoadWatch | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const { clock, log, metrics, host } = kernel;
    const { endpoint } = kernel.resolve(sidecarSettingsKey);
    const hub = kernel.resolve(linkHubKey);
    const meter = new ServiceMeter();
    this.client = new KindClient(
      new ModelEngineClient({ baseUrl: endpoint.url }),
      new ApplicationClient({ baseUrl: endpoint.url, clock }),
    );
    const reporter = new LedgerReporter({
      hub,
      meter,
      clock,
      log,
      metrics,
      readKind: () => readKind(kernel),
      onReady: () => this.admission?.post({ kind: AdmissionMessageKind.Ready }),
    });
    this.reporter = reporter;
    const admission = new Admission({
      endpoint: endpoint.name,
      host,
      client: this.client,
      meter,
      prepareChoice: () => reporter.prepareChoice(),
      clock,
      log,
      metrics,
    });
    this.admission = admission;
    kernel.provide(admissionKey, admission);
    kernel
      .resolve(statusBoardKey)
      .add('admission', () => ({ endpoint: endpoint.name, ...admission.readStatus() }));
    kernel.resolve(configurationKey).onChange(({ configuration }) => {
      admission.post({ kind: AdmissionMessageKind.Configure, configuration });
    });
    kernel.resolve(plannedStopsKey).onChange((marks) => {
      const marked = findStopSource(marks, { host, endpoint: endpoint.name }) !== undefined;
      admission.post({ kind: AdmissionMessageKind.PlannedStop, marked });
    });
    connectLinks(hub, admission);
    this.loadWatch = new LoadWatch({
      url: endpoint.url,
      clock,
      log,
      onReport: (load) => admission.post({ kind: AdmissionMessageKind.Load, report: load }),
    });
    return Promise.resolve();
  }

  override async drain(): Promise<void> {
    await this.admission?.drain();
  }

  override async stop(): Promise<void> {
    this.reporter?.stop();
    await this.loadWatch?.stop();
    this.admission?.stop();
    await this.client?.close();
  }
}

/** Picks the client by the kind of the job. */
class KindClient extends EndpointClient {
  private readonly model: EndpointClient;
  private readonly application: EndpointClient;

  constructor(model: EndpointClient, application: EndpointClient) {
    super();
    this.model = model;
    this.application = application;
  }

  override run(requestId: string, job: Job, listener: RunListener): Run {
    const client = job.kind === EndpointKind.Model ? this.model : this.application;
    return client.run(requestId, job, listener);
  }

  override async close(): Promise<void> {
    await Promise.all([this.model.close(), this.application.close()]);
  }
}

function connectLinks(hub: LinkHub, admission: Admission): void {
  hub.onLink((link) => {
    link.handleNotification(NotificationMethod.Backlog, (backlog) => {
      const peer = hub.findPeerByLink(link);
      if (peer !== undefined) admission.post({ kind: AdmissionMessageKind.Backlog, peer, backlog });
    });
    link.handleNotification(NotificationMethod.Cancel, (reference) =>
      admission.post({ kind: AdmissionMessageKind.Cancel, reference }),
    );
    link.handleNotification(NotificationMethod.Settle, (reference) =>
      admission.post({ kind: AdmissionMessageKind.Settle, reference }),
    );
  });
  hub.addUseCheck((peer) => admission.holdsWorkOf(peer.host));
  hub.onPeerJoined((peer) => {
    if (peer.role === Role.Router) admission.post({ kind: AdmissionMessageKind.Join, peer });
  });
  hub.onPeerLost((peer) => admission.post({ kind: AdmissionMessageKind.Lose, peer }));
}

function readKind(kernel: Kernel): EndpointKind | undefined {
  const { configuration } = kernel.resolve(configurationKey).current ?? {};
  const { name } = kernel.resolve(sidecarSettingsKey).endpoint;
  return configuration?.endpoints.find((line) => line.name === name)?.kind;
}

registerPlugin(() => new SidecarPlugin());
