import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { Verdict } from '@poplarpick/kernel';
import { ControlCall, RouterMetrics } from './router-metrics.ts';
import type { EndedCall } from './router-metrics.ts';

const METRICS_PAGE = new URL('../../../docs/operators/metrics.md', import.meta.url);

function makeMetrics(): RouterMetrics {
  return new RouterMetrics({
    keyAgeMs: () => 500,
    routesVersion: () => 3,
    endpoints: () => 2,
    routers: () => 1,
    logLinesDropped: () => 0,
    remainingRetries: () => 7,
    eventLoopDelayMs: () => 20,
    eventLoopUtilization: () => 0.5,
    openingMs: () => undefined,
    callerBytes: () => ({ received: 0, sent: 0 }),
    blockedSegments: () => 0,
    blockedRequests: () => 0,
    limitedEndpoints: () => 0,
    coldEndpoints: () => 0,
    evacuatedDataCentres: () => 0,
    reportAges: () => ({ local: [30, 10, 20], remote: [] }),
    usageAgeMs: () => 400,
    shareTokens: () => ({ demanded: 900, granted: 300 }),
    heldBytes: () => 0,
    heldBudgetBytes: () => 0,
    connections: () => ({}),
  });
}

function endedCall(overrides: Partial<EndedCall>): EndedCall {
  return {
    route: 'r',
    outcome: 'ok',
    isOverShare: false,
    firstEventMs: 90,
    expectedMs: 70,
    totalMs: 900,
    objectiveMs: 100,
    ...overrides,
  };
}

describe('router metrics', () => {
  it('count calls as good if they were complete and on time, and skip those whose callers left', async () => {
    const metrics = makeMetrics();
    metrics.recordCall(endedCall({}));
    metrics.recordCall(endedCall({ firstEventMs: 150 }));
    metrics.recordCall(
      endedCall({ outcome: 'refused', firstEventMs: undefined, isOverShare: true }),
    );
    metrics.recordCall(endedCall({ outcome: 'status_200', firstEventMs: undefined, totalMs: 60 }));
    metrics.recordCall(endedCall({ outcome: 'caller_left' }));
    const text = await metrics.read();
    expect(text).to.include('poplarpick_calls_judged_total{route="r",quality="good"} 2');
    expect(text).to.include('poplarpick_calls_judged_total{route="r",quality="bad"} 2');
    expect(text).to.include('{route="r",outcome="refused",share="beyond"} 1');
  });

  it('remove the series of endpoints that are gone', async () => {
    const metrics = makeMetrics();
    metrics.recordFailedAttempt('e1', Verdict.MayHaveRun);
    expect(await metrics.read()).to.include('endpoint="e1"');
    metrics.removeEndpoint('e1');
    expect(await metrics.read()).not.to.include('endpoint="e1"');
  });

  it('show the median and the 99th percentile of the ages of reports', async () => {
    const text = await makeMetrics().read();
    expect(text).to.include('poplarpick_report_age_seconds{senders="local",quantile="0.5"} 0.02');
    expect(text).to.include('poplarpick_report_age_seconds{senders="local",quantile="0.99"} 0.03');
    expect(text).not.to.include('senders="remote"');
  });

  it('are all documented on the metrics page', async () => {
    const metrics = makeMetrics();
    metrics.recordCall(endedCall({}));
    metrics.recordUnplaced('code');
    metrics.recordFailedAttempt('e1', Verdict.NotRun);
    metrics.recordControlCall(ControlCall.Store, true);
    metrics.recordReportBytes('sent', 10);
    const text = await metrics.read();
    const names = [...text.matchAll(/^# TYPE (\w+)/gm)].map(([, name]) => name);
    const page = readFileSync(METRICS_PAGE, 'utf8');
    expect(names.filter((name) => !page.includes(`\`${name ?? ''}\``))).to.deep.equal([]);
  });
});
