/**
 * Plays a crowd against one address: opens its connections, writes on each as fast as the server takes it, and keeps
 * them open. Connections that the server refuses or ends stay ended.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { sleep } from '@poplarpick/load';
import type { Crowd } from './crowd.ts';

/** Address that a crowd connects to. */
export interface CrowdTarget {
  host: string;
  port: number;
}

/**
 * Time without progress of any client after which a crowd has done what it can, in ms. A connection that finds the
 * queue of its listener full is tried again by the kernel after a second.
 */
const QUIET_MS = 1_500;
/** Longest time for which a crowd is played before the rest of the test goes on, in ms. */
const MAX_PLAY_MS = 30_000;
const CHECK_PERIOD_MS = 50;

/** The open connections of one crowd. */
export class CrowdPlayer {
  private readonly crowd: Crowd;
  private readonly target: CrowdTarget;
  private readonly sockets: Socket[] = [];
  private writing = 0;
  private progressAt = performance.now();
  private isStopped = false;

  constructor(crowd: Crowd, target: CrowdTarget) {
    this.crowd = crowd;
    this.target = target;
  }

  /** Resolves when all has been written, or when nothing more is taken; the connections stay open. */
  async play(): Promise<void> {
    const endsAt = performance.now() + MAX_PLAY_MS;
    for (let count = 0; count < this.crowd.connections; count += 1) void this.startClient();
    while (this.writing > 0 && performance.now() < endsAt) {
      if (performance.now() - this.progressAt > QUIET_MS) return;
      await sleep(CHECK_PERIOD_MS);
    }
    // What was written last may be on its way still.
    await sleep(QUIET_MS);
  }

  stop(): void {
    this.isStopped = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private async startClient(): Promise<void> {
    const socket = connect(this.target);
    this.sockets.push(socket);
    this.writing += 1;
    // A crowd is refused or reset at any time; its clients don't come back.
    socket.on('error', () => undefined);
    if (this.crowd.reads === true) socket.on('data', () => this.recordProgress());
    await waitForConnection(socket);
    this.recordProgress();
    for (const part of this.crowd.write()) {
      if (socket.destroyed || this.isStopped) break;
      await writePart(socket, part);
      this.recordProgress();
      if (this.crowd.pauseMs !== undefined) await sleep(this.crowd.pauseMs);
    }
    this.writing -= 1;
  }

  private recordProgress(): void {
    this.progressAt = performance.now();
  }
}

/** Resolves when the connection is open, or has failed. */
async function waitForConnection(socket: Socket): Promise<void> {
  await new Promise<void>((resolve) => {
    socket.once('connect', resolve);
    socket.once('close', resolve);
  });
}

/** Resolves when the part has been handed to the operating system, or the connection has ended. */
async function writePart(socket: Socket, part: Buffer): Promise<void> {
  await new Promise<void>((resolve) => {
    socket.once('close', resolve);
    socket.write(part, () => {
      socket.off('close', resolve);
      resolve();
    });
  });
}
