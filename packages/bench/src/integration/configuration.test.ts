import { expect } from 'chai';
import { Fault, ServiceCondition } from '@poplarpick/stand-ins';
import { listNodes, waitUntil } from '../control/control-fleet.ts';
import type { FleetNode } from '../control/control-fleet.ts';
import { hostOf, ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { LoggedEvent } from '../process-fleet/fleet-process.ts';

const LIMIT_MS = 20_000;

describe('configuration and membership with real processes', () => {
  let fleet: ProcessFleet;
  let revision = 1;

  before(async () => {
    fleet = await ProcessFleet.start({ routers: 3, serviceProxies: true });
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

  async function expectEverywhere(nodes: readonly FleetNode[] = listNodes(fleet)): Promise<void> {
    const isEverywhere = () => nodes.every((node) => revisionsOf(node).at(-1) === revision);
    await waitUntil(`revision ${revision}`, isEverywhere, LIMIT_MS);
    for (const node of nodes) {
      const revisions = revisionsOf(node);
      expect(revisions).to.deep.equal([...revisions].sort((a, b) => a - b));
    }
  }

  function router(index: number) {
    const found = fleet.routers[index];
    if (found === undefined) throw new Error(`no router ${index}`);
    return found;
  }

  it('brings a revision to processes that are cut off from the service', async () => {
    const cutOff = [router(0).host, router(1).host, hostOf('model-1')];
    cutOff.forEach((host) => (fleet.serviceProxy(host).fault = Fault.Cut));
    publish();
    await expectEverywhere();
    cutOff.forEach((host) => (fleet.serviceProxy(host).fault = Fault.None));
  });

  it('refuses a faulty document whole, says where and why, and goes on', async () => {
    revision += 1;
    fleet.site.configuration.publish(revision, `revision = ${revision}\npreset = "none"\n`);
    const isRefused = ({ event }: LoggedEvent) => event === 'configuration.refused';
    const refusal = await router(0).process.waitForEvent(isRefused, 'configuration.refused');
    expect(refusal['problems']).to.include('data_centres');
    const { configuration } = await fleet.status(router(0).operators);
    expect(configuration.revision).to.equal(revision - 1);
    expect(configuration.refused).to.include({ revision });
    publish();
    await expectEverywhere();
  });

  it('does not let a stale service turn a restarted router or sidecar back', async () => {
    const current = revision;
    fleet.site.publish({ revision: 1 });
    const sidecar = fleet.findSidecar('model-2');
    await fleet.restartRouter(router(1));
    await fleet.restartSidecar(sidecar);
    for (const node of [router(1), sidecar]) {
      const first = await node.process.waitFor('configuration.in_force');
      expect(Number(first['revision'])).to.equal(current);
    }
    publish();
    await expectEverywhere();
  });

  it('keeps a paused router from turning anything back when it wakes', async () => {
    router(2).process.signal('SIGSTOP');
    publish();
    await expectEverywhere(listNodes(fleet).filter((node) => node !== router(2)));
    const isLost = ({ event, peer }: LoggedEvent) =>
      event === 'peer.lost' && peer === router(2).host;
    await router(0).process.waitForEvent(isLost, 'peer.lost');
    router(2).process.signal('SIGCONT');
    await expectEverywhere();
  });

  it('comes to one revision after a service outage, a killed router and a partition together, twice', async () => {
    for (let round = 0; round < 2; round += 1) {
      fleet.site.configuration.condition = ServiceCondition.Down;
      fleet.routers.forEach(({ proxy }) => (proxy.fault = Fault.Silence));
      await router(round).process.kill();
      publish();
      fleet.site.configuration.condition = ServiceCondition.Normal;
      fleet.routers.forEach(({ proxy }) => (proxy.fault = Fault.None));
      await fleet.restartRouter(router(round));
      await expectEverywhere();
    }
  });

  it('finds a killed router, and takes it back when it has restarted', async () => {
    const victim = router(2);
    await waitForAlive(2);
    await victim.process.kill();
    for (const observer of [router(0), router(1)]) {
      await observer.process.waitForEvent(
        ({ event, peer }) => event === 'membership.down' && peer === victim.host,
        'membership.down',
      );
    }
    await fleet.restartRouter(victim);
    await waitForAlive(3);
  });

  /** Waits until the first routers know all processes as alive. */
  async function waitForAlive(routers: number): Promise<void> {
    const all = listNodes(fleet).length;
    const isAlive = async (): Promise<boolean> => {
      const statuses = await Promise.all(
        fleet.routers.slice(0, routers).map(({ operators }) => fleet.status(operators)),
      ).catch(() => []);
      return (
        statuses.length > 0 &&
        statuses.every((status) => (status['membership'] as { alive: number }).alive === all)
      );
    };
    await waitUntil('all alive', isAlive, LIMIT_MS);
  }
});
