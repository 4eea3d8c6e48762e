import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { expect } from 'chai';
import { Metric, StatsdMetrics } from './metrics.ts';

describe('StatsdMetrics', () => {
  it('sends samples with the product prefix, unit and tags', async () => {
    const collector = createSocket('udp4');
    collector.bind(0, '127.0.0.1');
    await once(collector, 'listening');
    const metrics = new StatsdMetrics({
      ip: '127.0.0.1',
      port: collector.address().port,
      tags: { host: 'entry-1' },
    });
    metrics.timing(Metric.QueueMs, 12, { workspace: 'treasury' });
    const [packet] = (await once(collector, 'message')) as [Buffer];
    metrics.close();
    collector.close();
    const text = packet.toString().trim();
    expect(text).to.match(/^poplarpick\.request\.queue_ms:12\|ms\|#/);
    expect(text).to.include('host:entry-1').and.to.include('workspace:treasury');
  });
});
