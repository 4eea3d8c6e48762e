/**
 * A fleet of real router and sidecar processes on loopback, with the stand-ins of a site. Sidecars reach
 * routers and endpoints through fault proxies, unless the option `direct` leaves these out.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MIN_ROUTERS_PER_SIDECAR } from '@poplarpick/decisions';
import { HostState } from '@poplarpick/fleet';
import type { Host } from '@poplarpick/fleet';
import { Role } from '@poplarpick/kernel';
import { fetchStatus } from '@poplarpick/cli';
import type { ProcessStatus } from '@poplarpick/cli';
import { FaultProxy, HostList, planSite, Site } from '@poplarpick/stand-ins';
import type { SiteOptions, SitePlan } from '@poplarpick/stand-ins';
import { stringify } from 'smol-toml';
import { FleetCertificates } from './fleet-certificates.ts';
import { FleetProcess } from './fleet-process.ts';

const FLEET = 'bench';

/** Number of processes that start concurrently. */
const START_BATCH_SIZE = 24;

/** Options of `ProcessFleet.start`. */
export interface ProcessFleetOptions {
  plan?: SitePlan;
  site?: SiteOptions;
  routers?: number;
  /**
   * Number of sidecar groups; endpoints are assigned to them in turn. Each group reaches the routers through
   * fault proxies of its own, so that a test can partition the groups.
   */
  sidecarGroups?: number;
  /** The harness waits for log events of level info, so higher levels are not available. */
  logLevel?: 'debug' | 'info';
  nodeOptions?: string[];
  /** Runs the binary that `npm run build` creates instead of the bundled program. */
  binary?: boolean;
  /** Bypasses the fault proxies, so that the bench does not spend processor time on copying bytes. */
  direct?: boolean;
  /** Whether each process reaches the configuration service through its own fault proxy. */
  configurationProxies?: boolean;
  /** Probability with which a process drops a heartbeat or a membership message. */
  messageLoss?: number;
  /** Whether links use mutual TLS, with certificates of an authority created for the fleet. */
  trust?: boolean;
}

/** A router process and its addresses, which survive restarts. */
export interface RouterNode {
  host: string;
  dataCentre: string;
  process: FleetProcess;
  callersAddress: string;
  operatorsAddress: string;
  linksAddress: string;
  /** Fault proxy to the router's link address for the first group of sidecars. */
  linkProxy: FaultProxy;
  /** Fault proxies of all sidecar groups, including the first. */
  linkProxies: FaultProxy[];
}

/** A sidecar process, its endpoint and its addresses. */
export interface SidecarNode {
  host: string;
  endpoint: string;
  dataCentre: string;
  group: number;
  process: FleetProcess;
  operatorsAddress: string;
  /** Fault proxy between the sidecar and its endpoint. */
  endpointProxy: FaultProxy;
}

/** A running fleet and its stand-ins. */
export class ProcessFleet {
  readonly site: Site;
  readonly routers: RouterNode[] = [];
  readonly sidecars: SidecarNode[] = [];
  private readonly options: ProcessFleetOptions;
  /** Host lists of the sidecar groups after the first; the first group uses the site's list. */
  private readonly groupHostLists: HostList[];
  private readonly configurationProxies = new Map<string, FaultProxy>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'poplarpick-'));

  /** Defined if the option `trust` is set. */
  certificates: FleetCertificates | undefined;

  private constructor(site: Site, options: ProcessFleetOptions) {
    this.site = site;
    this.options = options;
    const groups = options.sidecarGroups ?? 1;
    this.groupHostLists = Array.from({ length: groups - 1 }, () => new HostList());
  }

  /** Starts stand-ins, routers and sidecars, and waits until all are connected and configured. */
  static async start(options: ProcessFleetOptions = {}): Promise<ProcessFleet> {
    const site = await new Site(options.plan ?? planSite(), options.site).start();
    const fleet = new ProcessFleet(site, options);
    try {
      if (options.trust === true) fleet.certificates = await FleetCertificates.create(fleet.folder);
      await fleet.startAll();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  get routerUrls(): string[] {
    return this.routers.map((router) => `http://${router.callersAddress}`);
  }

  findSidecar(endpoint: string): SidecarNode {
    const found = this.sidecars.find((sidecar) => sidecar.endpoint === endpoint);
    if (found === undefined) throw new Error(`no sidecar for endpoint ${endpoint}`);
    return found;
  }

  /** Fetches the status of the process with that operators address. */
  async fetchStatus(operatorsAddress: string): Promise<ProcessStatus> {
    return fetchStatus(`http://${operatorsAddress}`, this.site.plan.operatorKey);
  }

  /** Kills a router and starts it again on the same addresses. */
  async restartRouter(router: RouterNode): Promise<void> {
    await router.process.kill();
    router.process = this.spawnRouter(router.host, router.dataCentre, router);
    await router.process.waitFor('process.started');
  }

  /** Kills a sidecar and starts it again. */
  async restartSidecar(sidecar: SidecarNode): Promise<void> {
    await sidecar.process.kill();
    sidecar.process = this.spawnSidecar(sidecar);
    await this.recordOperatorsAddress(sidecar);
  }

  /** Starts a second sidecar that replaces the given one at its endpoint; the first process keeps running. */
  async startReplacementSidecar(sidecar: SidecarNode): Promise<void> {
    sidecar.operatorsAddress = '';
    sidecar.process = this.spawnSidecar(sidecar);
    await this.recordOperatorsAddress(sidecar);
  }

  /** Fault proxy between a host's process and the configuration service; throws if there is none. */
  configurationProxy(host: string): FaultProxy {
    const found = this.configurationProxies.get(host);
    if (found === undefined) throw new Error(`no configuration proxy for ${host}`);
    return found;
  }

  /** Publishes all hosts in the host lists; the named ones as leaving, the others as live. */
  publishHostList(leavingHosts: readonly string[] = []): void {
    const sidecars: Host[] = this.site.plan.endpoints.map(({ name, dataCentre }) => ({
      id: sidecarHostOf(name),
      role: Role.Sidecar,
      dataCentre,
      state: leavingHosts.includes(sidecarHostOf(name)) ? HostState.Leaving : HostState.Live,
    }));
    [this.site.hosts, ...this.groupHostLists].forEach((list, group) => {
      const routers = this.routers.map((router) =>
        this.buildHostEntry(router, group, leavingHosts),
      );
      list.set([...routers, ...sidecars]);
    });
  }

  /** Kills all processes and stops the stand-ins. */
  async stop(): Promise<void> {
    const nodes = [...this.routers, ...this.sidecars];
    await Promise.all(nodes.map((node) => node.process.kill()));
    this.sidecars.forEach((node) => node.endpointProxy.stop());
    this.routers.forEach((node) => node.linkProxies.forEach((proxy) => proxy.stop()));
    await Promise.all(this.groupHostLists.map((list) => list.stop()));
    this.configurationProxies.forEach((proxy) => proxy.stop());
    await this.site.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private linkAddressFor(router: RouterNode, group: number): string {
    if (this.options.direct === true) return router.linksAddress;
    return router.linkProxies[group]?.address ?? router.linkProxy.address;
  }

  private buildHostEntry(router: RouterNode, group: number, leaving: readonly string[]): Host {
    return {
      id: router.host,
      role: Role.Router,
      dataCentre: router.dataCentre,
      address: this.linkAddressFor(router, group),
      state: leaving.includes(router.host) ? HostState.Leaving : HostState.Live,
    };
  }

  private async startAll(): Promise<void> {
    const { dataCentres, endpoints } = this.site.plan;
    await Promise.all(this.groupHostLists.map((list) => list.start()));
    const count = this.options.routers ?? 2;
    const placements = Array.from({ length: count }, (_, index) => ({
      host: `entry-${index + 1}`,
      dataCentre: dataCentres[index % dataCentres.length] ?? '',
    }));
    await startInBatches(placements, ({ host, dataCentre }) => this.startRouter(host, dataCentre));
    this.routers.sort((a, b) => (a.host < b.host ? -1 : 1));
    this.publishHostList();
    await startInBatches(endpoints, ({ name, dataCentre }) => this.startSidecar(name, dataCentre));
    await this.waitUntilLinked();
  }

  private async waitUntilLinked(): Promise<void> {
    for (const { process } of this.sidecars) {
      await process.waitFor('configuration.in_force');
      // In a larger fleet each sidecar connects to a few routers only.
      const expected = this.routers.length <= MIN_ROUTERS_PER_SIDECAR ? this.routers : [];
      for (const { host } of expected) {
        await process.waitForEvent(
          (event) => event['event'] === 'peer.joined' && event['peer'] === host,
          host,
        );
      }
    }
  }

  private async addConfigurationProxy(host: string): Promise<void> {
    if (this.options.configurationProxies !== true) return;
    const target = this.site.configuration.url.replace('http://', '');
    this.configurationProxies.set(host, await new FaultProxy({ target }).start());
  }

  private async startRouter(host: string, dataCentre: string): Promise<void> {
    await this.addConfigurationProxy(host);
    await this.certificates?.issue({ fleet: FLEET, role: Role.Router, host });
    const process = this.spawnRouter(host, dataCentre);
    const callersAddress = (await process.waitFor('callers.listening'))['address'] ?? '';
    const operatorsAddress = (await process.waitFor('operators.listening'))['address'] ?? '';
    const linksAddress = (await process.waitFor('links.listening'))['address'] ?? '';
    const linkProxy = await new FaultProxy({ target: linksAddress }).start();
    const otherProxies = this.groupHostLists.map(() =>
      new FaultProxy({ target: linksAddress }).start(),
    );
    const linkProxies = [linkProxy, ...(await Promise.all(otherProxies))];
    this.routers.push({
      host,
      dataCentre,
      process,
      callersAddress,
      operatorsAddress,
      linksAddress,
      linkProxy,
      linkProxies,
    });
    await process.waitFor('configuration.in_force');
  }

  private async startSidecar(endpoint: string, dataCentre: string): Promise<void> {
    await this.addConfigurationProxy(sidecarHostOf(endpoint));
    await this.certificates?.issue({
      fleet: FLEET,
      role: Role.Sidecar,
      host: sidecarHostOf(endpoint),
    });
    const endpointProxy = await new FaultProxy({
      target: this.site.endpointUrl(endpoint).replace('http://', ''),
    }).start();
    const index = this.site.plan.endpoints.findIndex(({ name }) => name === endpoint);
    const group = index % (this.groupHostLists.length + 1);
    const node = {
      host: sidecarHostOf(endpoint),
      endpoint,
      dataCentre,
      group,
      operatorsAddress: '',
      endpointProxy,
    };
    const sidecar = { ...node, process: this.spawnSidecar(node) };
    this.sidecars.push(sidecar);
    await this.recordOperatorsAddress(sidecar);
  }

  private async recordOperatorsAddress(sidecar: SidecarNode): Promise<void> {
    sidecar.operatorsAddress =
      (await sidecar.process.waitFor('operators.listening'))['address'] ?? '';
  }

  private spawnRouter(host: string, dataCentre: string, addresses?: RouterNode): FleetProcess {
    const settings = {
      ...this.commonSettings(host, dataCentre),
      operators: { address: addresses?.operatorsAddress ?? '127.0.0.1:0' },
      callers: { address: addresses?.callersAddress ?? '127.0.0.1:0' },
      links: { address: addresses?.linksAddress ?? '127.0.0.1:0' },
    };
    return this.spawn('router', host, settings);
  }

  private spawnSidecar(node: Omit<SidecarNode, 'process'>): FleetProcess {
    const settings = {
      ...this.commonSettings(node.host, node.dataCentre, node.group),
      operators: { address: node.operatorsAddress === '' ? '127.0.0.1:0' : node.operatorsAddress },
      endpoint: { name: node.endpoint, url: this.endpointUrl(node) },
    };
    return this.spawn('sidecar', node.host, settings);
  }

  private endpointUrl({ endpoint, endpointProxy }: Omit<SidecarNode, 'process'>): string {
    return this.options.direct === true
      ? this.site.endpointUrl(endpoint)
      : `http://${endpointProxy.address}`;
  }

  private spawn(command: string, host: string, settings: Record<string, unknown>): FleetProcess {
    return new FleetProcess({
      command,
      settingsFile: join(this.folder, `${host}.toml`),
      settings: stringify(settings),
      nodeOptions: this.options.nodeOptions ?? [],
      binary: this.options.binary ?? false,
    });
  }

  private commonSettings(host: string, dataCentre: string, group = 0) {
    const { configuration } = this.site;
    const hostList = this.groupHostLists[group - 1] ?? this.site.hosts;
    const proxy = this.configurationProxies.get(host);
    const configurationUrl = proxy === undefined ? configuration.url : `http://${proxy.address}`;
    return {
      fleet: FLEET,
      host,
      data_centre: dataCentre,
      platform: { configuration: configurationUrl, hosts: hostList.url },
      trust: this.certificates?.trustSettings(host) ?? { mode: 'none' },
      log: { level: this.options.logLevel ?? 'info' },
      ...(this.options.messageLoss === undefined
        ? {}
        : { faults: { message_loss: this.options.messageLoss } }),
    };
  }
}

/** Name of the host that runs the sidecar of an endpoint. */
export function sidecarHostOf(endpoint: string): string {
  return `host-of-${endpoint}`;
}

async function startInBatches<Item>(
  items: readonly Item[],
  start: (item: Item) => Promise<void>,
): Promise<void> {
  for (let first = 0; first < items.length; first += START_BATCH_SIZE) {
    await Promise.all(items.slice(first, first + START_BATCH_SIZE).map(start));
  }
}
