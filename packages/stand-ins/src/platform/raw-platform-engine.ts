/** Stand-in for an engine of the users' platform on raw connections, for what an HTTP server can't play. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createStoreEntry } from './store-entry.ts';

/** A TCP server with the entry of an engine; what it does with its connections is its own. */
export abstract class RawPlatformEngine {
  /** Its open connections. */
  readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    this.serve(socket);
  });

  async start(): Promise<this> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Builds this engine's entry in the metadata store. */
  createStoreEntry(
    service: string,
    overrides: Record<string, unknown> = {},
  ): Record<string, unknown> {
    const { address, port } = this.server.address() as AddressInfo;
    return createStoreEntry({ service, address: `${address}:${port}` }, overrides);
  }

  /** Serves a connection that was opened. */
  protected abstract serve(socket: Socket): void;
}
