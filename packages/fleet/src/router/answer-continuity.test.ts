// Guards against answers with parts twice or missing, and ends too early, where links break, are resumed or lose messages.
import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointKind } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { createLogger, LogLevel, NoopMetrics, Role, SystemClock } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';
import type { AnswerEnd, AnswerFrameBatch, Grant } from '../messages.ts';
import { AnswerSender } from '../sidecar/answer-sender.ts';
import { Execution } from '../sidecar/execution.ts';
import { AnswerSink } from './answer-sink.ts';
import { Dispatcher } from './dispatcher.ts';
import { DispatcherMessageKind } from './dispatcher-messages.ts';

const SEED = 51;
const RUNS = 1_000;
const QUEUE = { pool: 'bookings', workspace: 'spa', pinned: false };

enum Step {
  Produce,
  Flush,
  End,
  /** The router receives the oldest message on the way. */
  Receive,
  /** The link breaks, with all messages on the way, and is dialled again. */
  Break,
  /** The router answers the sidecar's call to resume. */
  Resume,
  /** The oldest message on the way arrives twice, which a link doesn't do. */
  Repeat,
  /** The oldest message on the way is lost, which a link doesn't do. */
  Lose,
}

class RecordingSink extends AnswerSink {
  readonly frames: string[] = [];
  readonly ends: string[] = [];

  override deliver(data: Buffer): void {
    this.frames.push(data.toString());
  }

  override finish(): void {
    this.ends.push('whole');
  }

  override fail(): void {
    this.ends.push('failed');
  }
}

interface Message {
  method: NotificationMethod;
  params: unknown;
}

/** A sidecar with one running request, its link to a router, and the router. */
class LinkedPair {
  readonly sink = new RecordingSink();
  readonly produced: string[] = [];
  hasLost = false;
  private readonly dispatcher = new Dispatcher({
    clock: new SystemClock(),
    log: createLogger({ level: LogLevel.Silent }),
    metrics: new NoopMetrics(),
  });
  private readonly sender = new AnswerSender({ onFramesQueued: () => undefined });
  private readonly execution: Execution;
  private isSettled = false;
  private isResumed = false;
  private sequence = 0;
  private onTheWay: Message[] = [];
  private sidecar: Peer;
  private router: Peer;

  constructor() {
    this.sidecar = this.createSidecar();
    this.router = this.createRouter();
    this.execution = new Execution(this.submitAndClaim(), 'router', 'first', Infinity);
    this.sender.addRouter(this.router);
  }

  apply(step: Step): void {
    switch (step) {
      case Step.Produce:
        if (this.execution.end === undefined) this.produce();
        return;
      case Step.Flush:
        this.sender.flush();
        return;
      case Step.End:
        if (this.execution.end === undefined)
          this.sender.sendEnd(this.execution, this.execution.finish(0, 0));
        return;
      case Step.Receive:
        this.receive(this.onTheWay.shift());
        return;
      case Step.Break:
        this.breakLink();
        return;
      case Step.Resume:
        if (!this.isResumed) this.resume();
        return;
      case Step.Repeat:
        this.receive(this.onTheWay[0]);
        return;
      case Step.Lose:
        this.hasLost ||= this.onTheWay.shift() !== undefined;
    }
  }

  /** Ends the answer and delivers all that is on the way. */
  complete(): void {
    for (const step of [Step.Resume, Step.End, Step.Flush]) this.apply(step);
    while (this.onTheWay.length > 0) this.apply(Step.Receive);
    this.dispatcher.stop();
  }

  private produce(): void {
    const text = `frame ${this.produced.length}`;
    this.produced.push(text);
    this.sender.sendFrame(this.execution, this.execution.appendFrame(Buffer.from(text), 0));
  }

  private receive(message: Message | undefined): void {
    const peer = this.sidecar;
    if (message?.method === NotificationMethod.Frames) {
      const { frames } = message.params as AnswerFrameBatch;
      this.dispatcher.post({ kind: DispatcherMessageKind.Frames, peer, frames });
    } else if (message?.method === NotificationMethod.End) {
      const end = message.params as AnswerEnd;
      this.dispatcher.post({ kind: DispatcherMessageKind.End, peer, end });
    }
  }

  private breakLink(): void {
    this.onTheWay = [];
    this.isResumed = false;
    this.dispatcher.post({ kind: DispatcherMessageKind.LinkLost, peer: this.sidecar });
    this.sender.removeRouter(this.router);
    this.sidecar = this.createSidecar();
    this.router = this.createRouter();
    this.sender.addRouter(this.router);
  }

  private resume(): void {
    this.isResumed = true;
    const held = this.isSettled ? [] : [{ request: 'request', attempt: 1 }];
    this.register(held, (answer) =>
      this.sender.resume(this.router, answer, () => (this.isSettled ? undefined : this.execution)),
    );
  }

  private register(
    held: { request: string; attempt: number }[],
    answer: (answer: Parameters<AnswerSender['resume']>[1]) => void,
  ): void {
    this.sequence += 1;
    const resume = { sequence: this.sequence, held };
    const peer = this.sidecar;
    this.dispatcher.post({ kind: DispatcherMessageKind.Resume, peer, resume, answer });
  }

  private submitAndClaim(): Grant {
    const workspace = { name: QUEUE.workspace, queue_limit: 10, weight: 1, key_hashes: [] };
    const preset = { name: 'day', caps: [], weights: [] };
    const lists = { workspaces: [workspace], endpoints: [], planned_stops: [], presets: [preset] };
    const configuration = { ...lists, preset: 'day' } as unknown as FleetConfiguration;
    this.dispatcher.post({ kind: DispatcherMessageKind.Configure, configuration });
    const call = { method: 'POST', path: '/', headers: [], body: new Uint8Array() };
    const job = { ...QUEUE, ...call, kind: EndpointKind.Application, repeatable: true };
    const submission = { id: 'request', job, deadlineMs: 60_000, sink: this.sink };
    this.dispatcher.post({ kind: DispatcherMessageKind.Submit, submission });
    this.register([], () => undefined);
    let grant: Grant | undefined;
    this.dispatcher.post({
      kind: DispatcherMessageKind.Claim,
      peer: this.sidecar,
      claim: { lines: [QUEUE] },
      answer: (result) => (grant = result.grant),
    });
    if (grant === undefined) throw new Error('the request was not granted');
    return grant;
  }

  private createSidecar(): Peer {
    const notify = (method: NotificationMethod): void => {
      if (method === NotificationMethod.Settle) this.isSettled = true;
    };
    return createPeer('sidecar', Role.Sidecar, notify);
  }

  private createRouter(): Peer {
    const link = createPeer('router', Role.Router, (method, params) => {
      if (this.router === link) this.onTheWay.push({ method, params });
    });
    return link;
  }
}

function createPeer(
  host: string,
  role: Role,
  notify: (method: NotificationMethod, params: unknown) => void,
): Peer {
  const hello = { fleet: 'f', host, role, dataCentre: 'd', incarnation: 'first', endpoint: host };
  const link = { notify, close: () => undefined };
  return { ...hello, link, dialled: false } as unknown as Peer;
}

describe('an answer over links that break', () => {
  it('arrives whole and in order, or fails', () => {
    const counts = { whole: 0, failed: 0 };
    const steps = fc.constantFrom(
      ...[Step.Produce, Step.Produce, Step.Flush, Step.Receive, Step.Receive],
      ...[Step.Break, Step.Resume, Step.End, Step.Repeat, Step.Lose],
    );
    fc.assert(
      fc.property(fc.array(steps, { maxLength: 60 }), (script) => {
        const pair = new LinkedPair();
        for (const step of [Step.Resume, Step.Produce, ...script]) pair.apply(step);
        pair.complete();
        const { sink, produced } = pair;
        expect(sink.frames).to.deep.equal(produced.slice(0, sink.frames.length));
        if (sink.ends.includes('whole')) expect(sink.frames).to.deep.equal(produced);
        expect(sink.ends.length).to.be.at.most(1);
        if (!pair.hasLost) expect(sink.ends).to.deep.equal(['whole']);
        counts.whole += sink.ends.includes('whole') ? 1 : 0;
        counts.failed += sink.ends.includes('failed') ? 1 : 0;
      }),
      { seed: SEED, numRuns: RUNS },
    );
    expect(Math.min(counts.whole, counts.failed)).to.be.above(0);
  });
});
