/** Plug-in that runs the admission of a sidecar and connects it to the links and the configuration. */
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
import { LoadPoller } from './load-poller.ts';
import { ModelEngineClient } from './model-engine-client.ts';
import { ServiceMeter } from './service-meter.ts';

class SidecarPlugin extends Plugin {
  override readonly name = 'sidecar';
  override readonly roles = [Role.Sidecar];
  override readonly requires = ['links', 'configuration', 'planned-stops'];
  private admission: Admission | undefined;
  private client: EndpointClient | undefined;
  private reporter: LedgerReporter | undefined;
  private loadPoller: LoadPoller | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const { clock, log, metrics, host } = kernel;
    const { endpoint } = kernel.resolve(sidecarSettingsKey);
    const hub = kernel.resolve(linkHubKey);
    const meter = new ServiceMeter();
    this.client = new ClientByKind(
      new ModelEngineClient({ baseUrl: endpoint.url }),
      new ApplicationClient({ baseUrl: endpoint.url, clock }),
    );
    const reporter = new LedgerReporter({
      hub,
      meter,
      clock,
      log,
      metrics,
      readEndpointKind: () => readEndpointKind(kernel),
      onTotalsReady: () => this.admission?.post({ kind: AdmissionMessageKind.TotalsReady }),
    });
    this.reporter = reporter;
    const admission = new Admission({
      endpoint: endpoint.name,
      host,
      client: this.client,
      meter,
      ensureFreshTotals: () => reporter.ensureFreshTotals(),
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
      const isMarked = findStopSource(marks, { host, endpoint: endpoint.name }) !== undefined;
      admission.post({ kind: AdmissionMessageKind.PlannedStop, isMarked });
    });
    connectLinks(hub, admission);
    this.loadPoller = new LoadPoller({
      url: endpoint.url,
      clock,
      log,
      onReport: (load) => admission.post({ kind: AdmissionMessageKind.LoadReported, report: load }),
    });
    return Promise.resolve();
  }

  override async drain(): Promise<void> {
    await this.admission?.drain();
  }

  override async stop(): Promise<void> {
    this.reporter?.stop();
    await this.loadPoller?.stop();
    this.admission?.stop();
    await this.client?.close();
  }
}

/** Runs each job with the client for its kind of endpoint. */
class ClientByKind extends EndpointClient {
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
      if (peer !== undefined)
        admission.post({ kind: AdmissionMessageKind.BacklogChanged, peer, backlog });
    });
    link.handleNotification(NotificationMethod.Cancel, (reference) =>
      admission.post({ kind: AdmissionMessageKind.Cancel, reference }),
    );
    link.handleNotification(NotificationMethod.Settle, (reference) =>
      admission.post({ kind: AdmissionMessageKind.Settle, reference }),
    );
  });
  hub.addUseCheck((peer) => admission.hasExecutionsOf(peer.host));
  hub.onPeerJoined((peer) => {
    if (peer.role === Role.Router)
      admission.post({ kind: AdmissionMessageKind.RouterJoined, peer });
  });
  hub.onPeerLost((peer) => admission.post({ kind: AdmissionMessageKind.RouterLost, peer }));
}

function readEndpointKind(kernel: Kernel): EndpointKind | undefined {
  const { configuration } = kernel.resolve(configurationKey).current ?? {};
  const { name } = kernel.resolve(sidecarSettingsKey).endpoint;
  return configuration?.endpoints.find((entry) => entry.name === name)?.kind;
}

registerPlugin(() => new SidecarPlugin());
