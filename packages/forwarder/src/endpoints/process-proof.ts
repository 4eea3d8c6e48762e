/**
 * Proves which process is behind the connections to one endpoint. Its entry names the start of a process, but may be
 * out of date; the process itself is asked where that matters, and only then, since each question costs the endpoint
 * something.
 */
import { IncarnationEvidence } from '@poplarpick/decisions';
import type { CallProtocol } from '../calls/call-protocol.ts';
import type { EndpointConnection } from './endpoint-connection.ts';
import type { EndpointSocket } from './endpoint-socket.ts';
import { ProcessFinding } from './process-finding.ts';
import { ProcessQuestion } from './process-question.ts';
import type { ProcessAnswer } from './process-question.ts';

/** Options of a `ProcessProof`. */
export interface ProcessProofOptions {
  /** Start of the process that the entry names, in ms since the Unix epoch; 0 if it names none. */
  startedAt: number;
  protocol: CallProtocol;
  /** Opens another connection. */
  connect: () => EndpointConnection;
  /** Called when another process has answered for the first time. */
  onReplaced: () => void;
  /** Called when a connection that was asked is free again. */
  onReleased: (connection: EndpointConnection) => void;
  /** Called when the question has failed, so that its connection is of no use. */
  onFailed: (connection: EndpointConnection) => void;
}

/** Questions to one endpoint, and what they have proved. */
export class ProcessProof {
  private readonly options: ProcessProofOptions;
  private readonly evidence = new IncarnationEvidence();
  /** The question over a new connection that is being asked. */
  private running: Promise<ProcessFinding> | undefined;
  private isRunningSent = false;
  private hasOtherAnswered = false;
  /** The one after that. */
  private next: Promise<ProcessFinding> | undefined;

  constructor(options: ProcessProofOptions) {
    this.options = options;
  }

  /** Whether another process than the one that the entry names has taken its place. */
  get isReplaced(): boolean {
    return this.hasOtherAnswered;
  }

  /** Whether a socket leads to the process that the entry names. Without a start, each start has an id of its own. */
  covers({ openedAt, hasTold }: EndpointSocket): boolean {
    return this.options.startedAt === 0 || hasTold || this.evidence.covers(openedAt);
  }

  /**
   * Records that the incarnation was in a list of endpoints that was complete at monotonic time `at`, in ms. Once
   * another process has answered, the entry is out of date, and lists prove nothing more.
   */
  recordListed(at: number): void {
    if (!this.hasOtherAnswered) this.evidence.recordListed(at);
  }

  /**
   * Opens a connection, if it isn't open, and asks who is behind it, over another one that is opened after it. One
   * question serves all connections that were opened before it.
   */
  async askBehind(connection: EndpointConnection): Promise<ProcessFinding> {
    try {
      await connection.openAhead();
    } catch {
      return ProcessFinding.Silent;
    }
    return this.covers(connection.socket) ? ProcessFinding.Listed : this.askAnew();
  }

  /** Asks over a connection that is opened after this call. One question serves all that wait for it. */
  askAnew(): Promise<ProcessFinding> {
    if (this.running === undefined) return this.begin();
    if (!this.isRunningSent) return this.running;
    this.next ??= this.running.then(() => {
      this.next = undefined;
      return this.begin();
    });
    return this.next;
  }

  private recordReplaced(): void {
    if (this.hasOtherAnswered) return;
    this.hasOtherAnswered = true;
    this.options.onReplaced();
  }

  private begin(): Promise<ProcessFinding> {
    this.isRunningSent = false;
    const question = this.askNewConnection();
    this.running = question;
    void question.then(() => (this.running = undefined));
    return question;
  }

  private async ask(connection: EndpointConnection): Promise<ProcessFinding> {
    const answer = await this.dispatch(connection);
    const { startedAt } = this.options;
    if (answer instanceof Error) return ProcessFinding.Silent;
    if (answer.startedAt === undefined || startedAt === 0) return ProcessFinding.Unnamed;
    if (answer.startedAt !== startedAt) {
      this.recordReplaced();
      return ProcessFinding.Other;
    }
    connection.socket.hasTold = true;
    this.evidence.recordTold(connection.socket.openingAt);
    return ProcessFinding.Listed;
  }

  private async askNewConnection(): Promise<ProcessFinding> {
    // What ends or begins in one iteration of the event loop shares a question.
    await new Promise(setImmediate);
    this.isRunningSent = true;
    const { connect, onReleased, onFailed } = this.options;
    const connection = connect();
    const finding = await this.ask(connection);
    if (finding === ProcessFinding.Silent) onFailed(connection);
    else onReleased(connection);
    return finding;
  }

  private dispatch(connection: EndpointConnection): Promise<ProcessAnswer | Error> {
    const { protocol } = this.options;
    return new Promise((resolve) => {
      const onProgress = (): void => connection.recordProgress();
      const question = new ProcessQuestion({ protocol, onProgress, onResult: resolve });
      connection.dispatch(protocol.encodeProcessQuestion(), question);
    });
  }
}
