import { setTimeout as waitMs } from 'node:timers/promises';
import { expect } from 'chai';
import { EndpointKind, KEY_GUARD_INTERVAL_MS } from '@poplarpick/decisions';
import { planSite } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';
import { v7 as makeUuid } from 'uuid';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import type { SidecarNode } from '../process-fleet/process-fleet.ts';
import { expectGolden, recordExchange } from './golden-file.ts';

/** A site with a single endpoint of the service, to which every idempotency key is pinned. */
function planSingleEndpointSite(): SitePlan {
  const plan = planSite({ workspaces: 3 });
  const application = plan.endpoints.find((endpoint) => endpoint.kind === EndpointKind.Application);
  if (application === undefined) throw new Error('the plan lacks an application');
  const dataCentres = plan.dataCentres.filter((name) => name === application.dataCentre);
  return { ...plan, endpoints: [application], dataCentres };
}

describe('golden files of requests that must run once', () => {
  let fleet: ProcessFleet;
  let sidecar: SidecarNode;

  before(async () => {
    const site = { applicationWorkMs: 500 };
    fleet = await ProcessFleet.start({ plan: planSingleEndpointSite(), routers: 1, site });
    sidecar = fleet.findSidecar(fleet.site.plan.endpoints[0]?.name ?? '');
    await waitMs(KEY_GUARD_INTERVAL_MS);
  });

  after(async () => {
    await fleet.stop();
  });

  async function recordBooking(name: string, key?: string): Promise<string> {
    const { workspaces, service, nonIdempotentPath } = fleet.site.plan;
    return recordExchange({
      method: 'POST',
      url: `${fleet.routerUrls[0] ?? ''}/apps/${service}${nonIdempotentPath}`,
      headers: {
        authorization: `Bearer ${workspaces[0]?.key ?? ''}`,
        'content-type': 'application/json',
        ...(key === undefined ? {} : { 'idempotency-key': key }),
      },
      body: JSON.stringify({ key: name }),
    });
  }

  it('answers a repeated key with the first answer', async () => {
    const key = makeUuid();
    const first = await recordBooking('saturday', key);
    expectGolden('key-answered', first);
    expect(await recordBooking('saturday', key)).to.equal(first);
  });

  it('refuses a key with another body', async () => {
    const key = makeUuid();
    await recordBooking('sunday', key);
    expectGolden('key-conflict', await recordBooking('monday', key));
  });

  it('refuses a key older than the retention of keys', async () => {
    expectGolden(
      'key-expired',
      await recordBooking('old', makeUuid({ msecs: Date.now() - 600_000 })),
    );
  });

  it('refuses a key from the future', async () => {
    expectGolden(
      'key-ahead',
      await recordBooking('ahead', makeUuid({ msecs: Date.now() + 600_000 })),
    );
  });

  it('answers may-have-run when the sidecar is killed while the call runs', async () => {
    const exchange = recordBooking('killed');
    while ((fleet.site.countRuns().get('killed') ?? 0) === 0) await waitMs(5);
    await fleet.restartSidecar(sidecar);
    expectGolden('failed-sidecar-killed', await exchange);
    expect(fleet.site.countRuns().get('killed')).to.equal(1);
  });

  it('refuses a key whose endpoint is unavailable', async () => {
    await sidecar.process.kill();
    expectGolden('key-endpoint-away', await recordBooking('away', makeUuid()));
    expect(fleet.site.countRuns().get('away')).to.equal(undefined);
  });
});
