import { expect } from 'chai';
import { EndpointKind } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import {
  createLogger,
  LogLevel,
  RequestError,
  Role,
  NoopMetrics,
  SystemClock,
  Verdict,
} from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import type { ClaimResult, AnswerFrame, ResumeResult } from '../messages.ts';
import { AnswerSink } from './answer-sink.ts';
import { Dispatcher } from './dispatcher.ts';
import { DispatcherMessageKind } from './dispatcher-messages.ts';

const CLAIM_QUEUE = { pool: 'bookings', workspace: 'spa', pinned: false };

class RecordingSink extends AnswerSink {
  readonly failures: RequestError[] = [];
  private readonly throwsOnFrame: boolean;

  constructor(throwsOnFrame: boolean) {
    super();
    this.throwsOnFrame = throwsOnFrame;
  }

  override deliver(): void {
    if (this.throwsOnFrame) throw new Error('invalid HTTP header');
  }

  override finish(): void {
    return;
  }

  override fail(error: RequestError): void {
    this.failures.push(error);
  }
}

/** A dispatcher with one queued request that is not repeatable. */
class Setup {
  readonly sink: RecordingSink;
  private readonly dispatcher: Dispatcher;

  constructor(throwsOnFrame = false) {
    const log = createLogger({ level: LogLevel.Silent });
    this.sink = new RecordingSink(throwsOnFrame);
    this.dispatcher = new Dispatcher({
      clock: new SystemClock(),
      log,
      metrics: new NoopMetrics(),
    });
    const workspaces = [
      { name: CLAIM_QUEUE.workspace, queue_limit: 10, weight: 1, key_hashes: [] },
    ];
    const configuration = {
      workspaces,
      endpoints: [],
      planned_stops: [],
      presets: [{ name: 'day', caps: [], weights: [] }],
      preset: 'day',
    } as unknown as FleetConfiguration;
    this.dispatcher.post({ kind: DispatcherMessageKind.Configure, configuration });
    const job = {
      ...CLAIM_QUEUE,
      kind: EndpointKind.Application,
      method: 'POST',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      repeatable: false,
    };
    const submission = { id: 'request', job, deadlineMs: 60_000, sink: this.sink };
    this.dispatcher.post({ kind: DispatcherMessageKind.Submit, submission });
  }

  resume(peer: Peer, sequence: number): ResumeResult | undefined {
    let received: ResumeResult | undefined;
    const answer = (resumed: ResumeResult): void => void (received = resumed);
    const resume = { sequence, held: [] };
    this.dispatcher.post({ kind: DispatcherMessageKind.Resume, peer, resume, answer });
    return received;
  }

  claim(peer: Peer): ClaimResult | undefined {
    let received: ClaimResult | undefined;
    const answer = (claimed: ClaimResult): void => void (received = claimed);
    const claim = { lines: [CLAIM_QUEUE] };
    this.dispatcher.post({ kind: DispatcherMessageKind.Claim, peer, claim, answer });
    return received;
  }

  receive(peer: Peer, frame: AnswerFrame): void {
    this.dispatcher.post({ kind: DispatcherMessageKind.Frames, peer, frames: [frame] });
  }

  stop(): void {
    this.dispatcher.stop();
  }
}

function createPeer(host: string): Peer {
  const link = { notify: () => undefined, close: () => undefined };
  const hello = { fleet: 'f', host, role: Role.Sidecar, dataCentre: 'd', incarnation: 'first' };
  return { ...hello, endpoint: host, link, dialled: false } as unknown as Peer;
}

describe('Dispatcher', () => {
  it('does not conclude from a stale resumption that a granted request was never started', () => {
    const setup = new Setup();
    setup.resume(createPeer('one'), 1);
    const current = createPeer('one');
    setup.resume(current, 3);
    expect(setup.claim(current)?.grant?.request).to.equal('request');
    setup.resume(createPeer('one'), 2);
    const other = createPeer('two');
    setup.resume(other, 1);
    expect(setup.claim(other)?.grant).to.equal(undefined);
    setup.stop();
  });

  it('fails a request immediately if its answer cannot be forwarded', () => {
    const setup = new Setup(true);
    const peer = createPeer('one');
    setup.resume(peer, 1);
    setup.claim(peer);
    setup.receive(peer, { request: 'request', attempt: 1, sequence: 0, data: Buffer.from('x') });
    expect(setup.sink.failures.map(({ verdict }) => verdict)).to.deep.equal([Verdict.Ran]);
    setup.stop();
  });
});
