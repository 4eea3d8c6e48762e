import { expect } from 'chai';
import { parseLogLine } from './log-record.ts';
import type { LogRecord } from './log-record.ts';
import { isRelevantRecord, buildLogTimeline } from './log-timeline.ts';

const ID = 'abc123';

/** Creates a log line with a timestamp of `seconds` after a fixed time. */
function line(seconds: number, rest: string, host = 'front-1'): string {
  const ts = new Date(Date.UTC(2026, 0, 1) + seconds * 1_000).toISOString();
  return `ts=${ts} level=info host=${host} ${rest}`;
}

function buildTimeline(...lines: string[]) {
  const records = lines
    .map((text) => parseLogLine(text))
    .filter((record): record is LogRecord => record !== undefined)
    .filter((record) => isRelevantRecord(record, ID));
  return buildLogTimeline(ID, records);
}

describe('buildLogTimeline', () => {
  it('parses lines with the prefix of a log collector and skips other lines', () => {
    const record = parseLogLine(`  3.6026 front-1 ${line(1, 'event=call.ended request=x')}`);
    expect(record).to.deep.include({ host: 'front-1', event: 'call.ended', request: 'x' });
    expect(parseLogLine('(node:12) Warning: something')).to.equal(undefined);
    expect(parseLogLine('ts=never event=x')).to.equal(undefined);
  });

  it('explains a refusal under overload by the state that decided it', () => {
    const timeline = buildTimeline(
      line(
        5,
        `event=call.ended request=${ID} outcome=refused reason="the wait is too long" route=r workspace=w ` +
          'endpoint=e1 share_used=0.82 surplus_used=0.17 returning=false wait_ms=524 service_ms=52 ' +
          'tokens_ahead=23707 requests_ahead=35 read_tokens=87 total_ms=0',
      ),
      line(1, 'event=routes.in_force version=13'),
    );
    expect(timeline?.conclusion).to.equal('It has not run: the wait is too long.');
    expect(timeline?.lines.map(({ event }) => event)).to.deep.equal([
      'routes.in_force',
      'call.ended',
    ]);
    expect(timeline?.lines[1]?.text).to.include('524 ms to wait behind 23707 tokens');
    expect(timeline?.lines[1]?.text).to.include('0.82 of its share');
  });

  it('explains a request without an answer that no endpoint has run', () => {
    const timeline = buildTimeline(
      line(5, `event=call.dropped request=${ID} reason="the connection is ended" total_ms=2`),
    );
    expect(timeline?.conclusion).to.equal(
      'It has not run, and has no answer: the connection is ended.',
    );
    expect(timeline?.lines[0]?.text).to.include('dropped before it was placed');
  });

  it('adds other failures at the endpoint and events of the endpoint and the router', () => {
    const failed = 'event=call.attempt_failed';
    const timeline = buildTimeline(
      line(
        5,
        `${failed} request=${ID} endpoint=e1 reason="other side closed" verdict=may-have-run last_event=7`,
      ),
      line(
        5,
        `event=call.ended request=${ID} outcome=cut reason="other side closed" total_ms=1000`,
      ),
      line(5.1, `${failed} request=other endpoint=e1 reason=x verdict=may-have-run`, 'front-2'),
      line(5.1, `${failed} request=another endpoint=e2 reason=x verdict=may-have-run`),
      line(6, 'event=endpoint.gone endpoint=e1'),
      line(6, 'event=endpoint.gone endpoint=e2'),
      line(6, 'event=store.lost prefix=p/ reason=timeout', 'front-2'),
      line(40, 'event=endpoint.seen endpoint=e1'),
    );
    const context = timeline?.lines.filter(({ isContext }) => isContext).map(({ text }) => text);
    expect(context).to.deep.equal([
      '1 other attempts failed at endpoint e1 within 3 s',
      'the entry of endpoint e1 is gone',
    ]);
    expect(timeline?.conclusion).to.match(/broken off: other side closed/);
  });

  it('draws no conclusion on a sent request whose end is not in the log', () => {
    const timeline = buildTimeline(
      line(5, `event=call.sent request=${ID} endpoint=e1 attempt=1 left_ms=1200`),
      line(7, 'event=process.started role=router'),
    );
    expect(timeline?.conclusion).to.equal(undefined);
    expect(timeline?.lines.map(({ event }) => event)).to.deep.equal([
      'call.sent',
      'process.started',
    ]);
  });

  it('builds no timeline for a request that no line refers to', () => {
    expect(buildTimeline(line(1, 'event=store.lost prefix=p/ reason=timeout'))).to.equal(undefined);
  });
});
