/**
 * Stand-in for an engine that doesn't keep to HTTP: it answers each request with bytes of a script over plain TCP, and
 * ends the connection as the script says. Each connection carries one request.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** How the engine ends the connection after the bytes of an answer. */
export enum ConnectionEnd {
  /** An orderly close. */
  Close = 'close',
  Reset = 'reset',
  /** The process is killed. The system closes its connections in order; a connection that it accepts late is reset. */
  Death = 'death',
}

/** The answer to one request. */
export interface ScriptedAnswer {
  bytes: Buffer;
  end: ConnectionEnd;
}

/** Returns the answer to a request, of which the request line is given. */
export type AnswerScript = (requestLine: string) => ScriptedAnswer;

/** Time for which the bytes of an answer travel before a reset, which would overtake them, in ms. */
const RESET_DELAY_MS = 5;

/** Time after which the system resets a connection that it has accepted for a process that was killed, in ms. */
const DEATH_DURATION_MS = 5;

/** Answers requests from a script. */
export class ScriptedEngine {
  private readonly script: AnswerScript;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private isDying = false;

  constructor(script: AnswerScript) {
    this.script = script;
    this.server = createServer((socket) => this.serve(socket));
  }

  /** Base URL; valid after `start`. */
  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async start(): Promise<this> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return this;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    // The caller may leave at any time.
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    if (this.isDying) {
      setTimeout(() => {
        socket.resetAndDestroy();
        this.stop();
      }, DEATH_DURATION_MS);
      return;
    }
    let received = '';
    let hasAnswered = false;
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      if (hasAnswered || !isWholeRequest(received)) return;
      hasAnswered = true;
      this.answer(socket, this.script(received.slice(0, received.indexOf('\r\n'))));
    });
  }

  /** Sends the bytes in two writes, so that a reader that needs them in one piece fails. */
  private answer(socket: Socket, { bytes, end }: ScriptedAnswer): void {
    const middle = bytes.length >> 1;
    if (middle > 0) socket.write(bytes.subarray(0, middle));
    setImmediate(() => {
      socket.write(bytes.subarray(middle), () => this.endConnection(socket, end));
    });
  }

  private endConnection(socket: Socket, end: ConnectionEnd): void {
    switch (end) {
      case ConnectionEnd.Close:
        socket.end();
        return;
      case ConnectionEnd.Reset:
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        return;
      case ConnectionEnd.Death:
        this.sockets.forEach((open) => open.end());
        this.isDying = true;
    }
  }
}

function isWholeRequest(text: string): boolean {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return false;
  const length = Number(/^content-length: *(\d+)/im.exec(text)?.[1] ?? 0);
  return text.length >= headEnd + '\r\n\r\n'.length + length;
}
