/**
 * Stand-in for an engine of the users' platform that answers with the bytes of a script, on raw connections. It plays
 * what an HTTP server can't: heads that stop at any byte, bodies that end early, and answers in any packets.
 */
import type { Socket } from 'node:net';
import { RawPlatformEngine } from './raw-platform-engine.ts';

const HEAD_END = '\r\n\r\n';

/** Requests that it runs at once. */
const SLOTS = 64;

/** Time after the last byte at which a connection is reset, so that the bytes are read before, in ms. */
const RESET_DELAY_MS = 15;

/** What happens to the connection after the last byte of an answer. */
export enum PlatformAnswerEnd {
  /** It serves the next request. */
  Kept = 'kept',
  /** It is closed in order. */
  Closed = 'closed',
  Reset = 'reset',
  /** It stays open without a further byte. */
  Silent = 'silent',
}

/** What the engine reads of a request. */
export interface PlatformRequest {
  requestId: string;
  target: string;
  /** Event after which a stream is to go on; undefined without one. */
  lastEventId: number | undefined;
}

/** The answer to one request. */
export interface PlatformAnswer {
  /** Each piece is written by itself. */
  pieces: readonly string[];
  end: PlatformAnswerEnd;
  /** Awaited before the piece with this index; nothing by default. */
  pause?: { beforePiece: number; until: Promise<void> };
}

/** A TCP server that answers requests as `answer` chooses. */
export class ScriptedPlatformEngine extends RawPlatformEngine {
  private readonly answer: (request: PlatformRequest) => PlatformAnswer;

  constructor(answer: (request: PlatformRequest) => PlatformAnswer) {
    super();
    this.answer = answer;
  }

  override createStoreEntry(service: string): Record<string, unknown> {
    return super.createStoreEntry(service, { slots: SLOTS });
  }

  protected override serve(socket: Socket): void {
    socket.setNoDelay(true);
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      const length = requestLength(received);
      if (length === undefined || received.length < length) return;
      const request = received.slice(0, length);
      received = received.slice(length);
      void this.handleRequest(socket, request);
    });
  }

  private async handleRequest(socket: Socket, request: string): Promise<void> {
    const requestId = headerValue(request, 'attempt-id');
    if (requestId === undefined) {
      socket.end(`HTTP/1.1 404 Not Found\r\nContent-Length: 0${HEAD_END}`);
      return;
    }
    const target = request.split(' ', 2)[1] ?? '';
    const lastEventId = headerValue(request, 'last-event-id');
    const id = lastEventId === undefined ? undefined : Number(lastEventId);
    await play(socket, this.answer({ requestId, target, lastEventId: id }));
  }
}

/** Length of the first request in the received text; undefined while its head is incomplete. */
function requestLength(received: string): number | undefined {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const bodyLength = Number(headerValue(received.slice(0, headEnd + 2), 'content-length') ?? 0);
  return headEnd + HEAD_END.length + bodyLength;
}

function headerValue(request: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\\r$`, 'im').exec(request)?.[1];
}

async function play(socket: Socket, { pieces, end, pause }: PlatformAnswer): Promise<void> {
  for (const [index, piece] of pieces.entries()) {
    if (index === pause?.beforePiece) await pause.until;
    if (socket.destroyed) return;
    if (piece !== '') await new Promise((resolve) => socket.write(piece, 'latin1', resolve));
    await new Promise(setImmediate);
  }
  if (end === PlatformAnswerEnd.Closed) socket.end();
  if (end === PlatformAnswerEnd.Reset) setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}
