import { expect } from 'chai';
import { buildTraceTimeline } from './trace-timeline.ts';

function createTrace(
  events: { atMs: number; event: string; details?: Record<string, string | number> }[],
) {
  return {
    request: 'r',
    workspace: 'w',
    forgotten: 0,
    events: events.map((entry) => ({ details: {}, ...entry })),
  };
}

describe('buildTraceTimeline', () => {
  it('sorts the events of all processes by time and describes them', () => {
    const claim = { preferred: 'w', service: 5, next: 'v', next_service: 9 };
    const timeline = buildTraceTimeline([
      { host: 'entry', trace: createTrace([{ atMs: 1, event: 'request.queued' }]) },
      {
        host: 'beside',
        trace: createTrace([
          { atMs: 2, event: 'request.claimed', details: claim },
          { atMs: 3, event: 'request.new_kind', details: { reason: 'late' } },
        ]),
      },
      { host: 'entry', trace: createTrace([{ atMs: 4, event: 'request.abandoned' }]) },
    ]);
    expect(timeline.map(({ host }) => host)).to.deep.equal(['entry', 'beside', 'beside', 'entry']);
    expect(timeline[1]?.text).to.contain('workspace w had the least service');
    expect(timeline[1]?.text).to.contain('then v (9)');
    expect(timeline[2]?.text).to.equal('reason=late');
  });
});
