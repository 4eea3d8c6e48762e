import { expect } from 'chai';
import { Fault, ServiceCondition } from '@poplarpick/stand-ins';
import { listNodes, waitUntil } from '../control/control-fleet.ts';
import type { FleetNode } from '../control/control-fleet.ts';
import { sidecarHostOf, ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { LoggedEvent } from '../process-fleet/fleet-process.ts';

const TIMEOUT_MS = 20_000;

describe('configuration and membership with real processes', () => {
  let fleet: ProcessFleet;
  let revision = 1;

  before(async () => {
    fleet = await ProcessFleet.start({ routers: 3, configurationProxies: true });
  });

  after(async () => {
    await fleet.stop();
  });

  function publish(): void {
    revision += 1;
    fleet.site.publish({ revision });
  }

  function revisionsOf(node: FleetNode): number[] {
    return node.process.events
      .filter((event) => event['event'] === 'configuration.in_force')
      .map((event) => Number(event['revision']));
  }

  async function expectRevisionEverywhere(
    nodes: readonly FleetNode[] = listNodes(fleet),
  ): Promise<void> {
    const isInForceEverywhere = () => nodes.every((node) => revisionsOf(node).at(-1) === revision);
    await waitUntil(`revision ${revision}`, isInForceEverywhere, TIMEOUT_MS);
    for (const node of nodes) {
      const revisions = revisionsOf(node);
      expect(revisions).to.deep.equal([...revisions].sort((a, b) => a - b));
    }
  }

  function routerAt(index: number) {
    const found = fleet.routers[index];
    if (found === undefined) throw new Error(`no router ${index}`);
    return found;
  }

  it('brings a revision to processes that are cut off from the service', async () => {
    const cutOff = [routerAt(0).host, routerAt(1).host, sidecarHostOf('model-1')];
    cutOff.forEach((host) => (fleet.configurationProxy(host).fault = Fault.Cut));
    publish();
    await expectRevisionEverywhere();
    cutOff.forEach((host) => (fleet.configurationProxy(host).fault = Fault.None));
  });

  it('rejects an invalid document as a whole, reports its problems, and continues', async () => {
    revision += 1;
    fleet.site.configuration.publish(revision, `revision = ${revision}\npreset = "none"\n`);
    const isRefused = ({ event }: LoggedEvent) => event === 'configuration.refused';
    const refusal = await routerAt(0).process.waitForEvent(isRefused, 'configuration.refused');
    expect(refusal['problems']).to.include('data_centres');
    const { configuration } = await fleet.fetchStatus(routerAt(0).operatorsAddress);
    expect(configuration.revision).to.equal(revision - 1);
    expect(configuration.refused).to.include({ revision });
    publish();
    await expectRevisionEverywhere();
  });

  it('does not roll back a restarted router or sidecar when the service is stale', async () => {
    const current = revision;
    fleet.site.publish({ revision: 1 });
    const sidecar = fleet.findSidecar('model-2');
    await fleet.restartRouter(routerAt(1));
    await fleet.restartSidecar(sidecar);
    for (const node of [routerAt(1), sidecar]) {
      const first = await node.process.waitFor('configuration.in_force');
      expect(Number(first['revision'])).to.equal(current);
    }
    publish();
    await expectRevisionEverywhere();
  });

  it('rolls nothing back when a paused router resumes', async () => {
    routerAt(2).process.signal('SIGSTOP');
    publish();
    await expectRevisionEverywhere(listNodes(fleet).filter((node) => node !== routerAt(2)));
    const isLost = ({ event, peer }: LoggedEvent) =>
      event === 'peer.lost' && peer === routerAt(2).host;
    await routerAt(0).process.waitForEvent(isLost, 'peer.lost');
    routerAt(2).process.signal('SIGCONT');
    await expectRevisionEverywhere();
  });

  it('converges on one revision after a service outage, a killed router and a partition together, twice', async () => {
    for (let round = 0; round < 2; round += 1) {
      fleet.site.configuration.condition = ServiceCondition.Down;
      fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.Silence));
      await routerAt(round).process.kill();
      publish();
      fleet.site.configuration.condition = ServiceCondition.Normal;
      fleet.routers.forEach(({ linkProxy }) => (linkProxy.fault = Fault.None));
      await fleet.restartRouter(routerAt(round));
      await expectRevisionEverywhere();
    }
  });

  it('detects a killed router, and readmits it after a restart', async () => {
    const victim = routerAt(2);
    await waitForAlive(2);
    await victim.process.kill();
    for (const observer of [routerAt(0), routerAt(1)]) {
      await observer.process.waitForEvent(
        ({ event, peer }) => event === 'membership.down' && peer === victim.host,
        'membership.down',
      );
    }
    await fleet.restartRouter(victim);
    await waitForAlive(3);
  });

  /** Waits until each of the first `routers` routers counts all processes as alive. */
  async function waitForAlive(routers: number): Promise<void> {
    const all = listNodes(fleet).length;
    const isAlive = async (): Promise<boolean> => {
      const statuses = await Promise.all(
        fleet.routers
          .slice(0, routers)
          .map(({ operatorsAddress }) => fleet.fetchStatus(operatorsAddress)),
      ).catch(() => []);
      return (
        statuses.length > 0 &&
        statuses.every((status) => (status['membership'] as { alive: number }).alive === all)
      );
    };
    await waitUntil('all alive', isAlive, TIMEOUT_MS);
  }
});
