import { expect } from 'chai';
import { request } from 'undici';
import { ConfigurationService, ServiceCondition } from './configuration-service.ts';

describe('ConfigurationService', () => {
  let service: ConfigurationService;

  beforeEach(async () => {
    service = await new ConfigurationService({ callsPerSecond: 5 }).start();
  });

  afterEach(async () => {
    await service.stop();
  });

  async function watch(after: number, waitMs: number) {
    const response = await request(`${service.url}/v1/watch?after=${after}&wait_ms=${waitMs}`);
    return { status: response.statusCode, text: await response.body.text() };
  }

  it('lets a watch wait for the next revision', async () => {
    service.publish(1, 'one');
    const waiting = watch(1, 10_000);
    service.publish(2, 'two');
    expect(JSON.parse((await waiting).text)).to.deep.equal({ revision: 2, document: 'two' });
  });

  it('ends a watch with 204 when no new revision arrives in time', async () => {
    service.publish(1, 'one');
    expect((await watch(1, 10)).status).to.equal(204);
  });

  it('hides new revisions while it is stale and shows them afterwards', async () => {
    service.publish(1, 'one');
    service.condition = ServiceCondition.Stale;
    service.publish(2, 'two');
    expect((await watch(1, 10)).status).to.equal(204);
    service.condition = ServiceCondition.Normal;
    expect((await watch(1, 10)).status).to.equal(200);
  });

  it('fails every call while it is down', async () => {
    service.publish(1, 'one');
    service.condition = ServiceCondition.Down;
    expect((await watch(0, 10)).status).to.equal(503);
  });

  it('refuses calls over its rate limit', async () => {
    service.publish(1, 'one');
    const statuses = await Promise.all(Array.from({ length: 12 }, () => watch(0, 0)));
    expect(statuses.some(({ status }) => status === 429)).to.equal(true);
    expect(service.calls.total).to.equal(12);
  });
});
