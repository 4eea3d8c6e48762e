import { expect } from 'chai';
import type { LogEvent } from './log.ts';
import { Metric, NoopMetrics } from './metrics.ts';
import type { MetricTags } from './metrics.ts';
import { RepairKind, reportRepair } from './repair.ts';

class RecordingMetrics extends NoopMetrics {
  readonly counts: { metric: Metric; by: number; tags: MetricTags }[] = [];

  override increment(metric: Metric = Metric.Repairs, by = 1, tags: MetricTags = {}): void {
    this.counts.push({ metric, by, tags });
  }
}

describe('reportRepair', () => {
  it('writes one log line and one counter increment, both with the cause', () => {
    const lines: LogEvent[] = [];
    const write = (line: LogEvent): void => void lines.push(line);
    const metrics = new RecordingMetrics();
    reportRepair(
      { log: { debug: write, info: write, warn: write, error: write }, metrics },
      { kind: RepairKind.LinkReplaced, cause: 'silent', subject: 'router-1' },
    );
    expect(lines).to.deep.equal([
      { event: 'repair.link_replaced', cause: 'silent', subject: 'router-1' },
    ]);
    expect(metrics.counts).to.deep.equal([
      { metric: Metric.Repairs, by: 1, tags: { kind: 'link_replaced', cause: 'silent' } },
    ]);
  });
});
