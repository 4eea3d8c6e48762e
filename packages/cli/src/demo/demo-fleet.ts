/** Fleet in a single process for the demo: stand-ins, two routers and a sidecar for each endpoint. */
import { parseRouterSettings, parseSidecarSettings } from '@poplarpick/decisions';
import {
  admissionKey,
  configurationKey,
  dispatcherKey,
  HostState,
  linkHubKey,
  startRouter,
  startSidecar,
  statusBoardKey,
  linkTrafficKey,
} from '@poplarpick/fleet';
import { createLogger, LogLevel, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import { sum } from '@poplarpick/load';
import { planSite, Site } from '@poplarpick/stand-ins';
import { stringify } from 'smol-toml';

const ROUTER_COUNT = 2;
const READY_POLL_INTERVAL_MS = 20;
const READY_TIMEOUT_MS = 20_000;
const FLEET_NAME = 'demo';
const ENGINE_PACE = { baseStepMs: 15, perSequenceMs: 1 };

/** Name and base URL of a listening server. */
export interface NamedUrl {
  name: string;
  url: string;
}

/** Running fleet of the demo. */
export class DemoFleet {
  readonly site: Site;
  readonly routers: Kernel[];
  readonly sidecars: Kernel[];

  private constructor(site: Site, routers: Kernel[], sidecars: Kernel[]) {
    this.site = site;
    this.routers = routers;
    this.sidecars = sidecars;
  }

  /** Starts all processes and stand-ins and waits until each sidecar is linked to each router. */
  static async start(): Promise<DemoFleet> {
    const site = await new Site(planSite(), { engineDefaults: { pace: ENGINE_PACE } }).start();
    const log = createLogger({ level: LogLevel.Warn });
    const routers: Kernel[] = [];
    for (let index = 0; index < ROUTER_COUNT; index += 1) {
      routers.push(await startRouter(createRouterSettings(site, `entry-${index + 1}`), { log }));
    }
    site.hosts.set(routers.map((router) => createHostEntry(router, site)));
    const sidecars = await Promise.all(
      site.plan.endpoints.map(({ name }) =>
        startSidecar(createSidecarSettings(site, name), { log }),
      ),
    );
    const fleet = new DemoFleet(site, routers, sidecars);
    await fleet.waitUntilReady();
    return fleet;
  }

  /** Base URLs of the routers' API for callers. */
  listRouterUrls(): string[] {
    return this.routers.map((router) => `http://${readAddress(router, 'callers')}`);
  }

  listAddresses(): NamedUrl[] {
    const { configuration, hosts } = this.site;
    return [
      ...this.routers.flatMap((router) => [
        { name: `${router.host} callers`, url: `http://${readAddress(router, 'callers')}` },
        { name: `${router.host} operators`, url: `http://${readAddress(router, 'operators')}` },
      ]),
      { name: 'configuration service', url: configuration.url },
      { name: 'host list', url: hosts.url },
    ];
  }

  /** Builds a curl command that sends an example request. */
  buildCurlCommand(): string {
    const { model, workspaces } = this.site.plan;
    const key = workspaces.at(-1)?.key ?? '';
    const body = JSON.stringify({
      model,
      messages: [{ role: 'user', content: 'Hello' }],
      stream: true,
    });
    const url = `${this.listRouterUrls()[0] ?? ''}/v1/chat/completions`;
    return `curl -sN ${url} -H 'Authorization: Bearer ${key}' -H 'Content-Type: application/json' -d '${body}'`;
  }

  /** Counts the busy and the available slots of all model engines. */
  countModelSlots(): { busy: number; available: number } {
    const statuses = this.sidecars
      .filter((sidecar) => this.site.modelEngines.has(sidecar.host.replace('host-of-', '')))
      .map((sidecar) => sidecar.resolve(admissionKey).readStatus());
    return {
      busy: sum(statuses.map(({ running }) => running)),
      available: sum(statuses.map(({ slots }) => slots)),
    };
  }

  /** Counts the requests for the model in the queues of all routers. */
  countQueuedRequests(): number {
    const { model } = this.site.plan;
    const queues = this.routers
      .flatMap((router) => router.resolve(dispatcherKey).readStatus().backlog)
      .filter(({ line }) => line.pool === model);
    return sum(queues.map(({ count }) => count));
  }

  /** Sums the control bytes that all processes have sent so far. */
  sumControlBytes(): number {
    return sum(this.listKernels().map((kernel) => kernel.resolve(linkTrafficKey).controlBytes));
  }

  listKernels(): Kernel[] {
    return [...this.routers, ...this.sidecars];
  }

  async stop(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.drain()));
    await Promise.all(this.sidecars.map((sidecar) => sidecar.drain()));
    await this.site.stop();
  }

  private async waitUntilReady(): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!this.isReady()) {
      if (performance.now() > deadline) throw new Error('the demo fleet did not become ready');
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_INTERVAL_MS));
    }
  }

  private isReady(): boolean {
    const configured = this.listKernels().every(
      (kernel) => kernel.resolve(configurationKey).revision > 0,
    );
    const linked = this.sidecars.every(
      (sidecar) => sidecar.resolve(linkHubKey).peers(Role.Router).length === ROUTER_COUNT,
    );
    return configured && linked;
  }
}

function readAddress(kernel: Kernel, name: string): string {
  return String(kernel.resolve(statusBoardKey).read()[`address.${name}`]);
}

function createHostEntry(router: Kernel, site: Site) {
  return {
    id: router.host,
    role: Role.Router,
    dataCentre: site.plan.dataCentres[0] ?? '',
    address: readAddress(router, 'links'),
    state: HostState.Live,
  };
}

function buildCommonSettings(site: Site, host: string, dataCentre: string) {
  return {
    fleet: FLEET_NAME,
    host,
    data_centre: dataCentre,
    platform: { configuration: site.configuration.url, hosts: site.hosts.url },
    operators: { address: '127.0.0.1:0' },
    trust: { mode: 'none' },
  };
}

function createRouterSettings(site: Site, host: string) {
  const dataCentre = site.plan.dataCentres[0] ?? '';
  const text = stringify({
    ...buildCommonSettings(site, host, dataCentre),
    callers: { address: '127.0.0.1:0' },
    links: { address: '127.0.0.1:0' },
  });
  return parseRouterSettings(text, host);
}

function createSidecarSettings(site: Site, endpoint: string) {
  const dataCentre =
    site.plan.endpoints.find((plannedEndpoint) => plannedEndpoint.name === endpoint)?.dataCentre ??
    '';
  const text = stringify({
    ...buildCommonSettings(site, `host-of-${endpoint}`, dataCentre),
    endpoint: { name: endpoint, url: site.endpointUrl(endpoint) },
  });
  return parseSidecarSettings(text, endpoint);
}
