/** Listening side of the links. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { parseAddress } from '../address.ts';
import type { ListenerGuard } from '../listening/listener-guard.ts';
import type { Transport } from '../trust/transport.ts';

/** Listens on an address and passes each socket that the guard accepts to `onSocket`. */
export class LinkListener {
  private readonly server: Server;

  constructor(transport: Transport, guard: ListenerGuard, onSocket: (socket: Socket) => void) {
    this.server = transport.createServer((socket) => {
      if (guard.accept(socket)) onSocket(socket);
    });
    guard.watch(this.server);
  }

  /** Starts listening and returns the bound address. Rejects if the address cannot be bound. */
  async listen(address: string): Promise<string> {
    const { ip, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
    const bound = this.server.address() as AddressInfo;
    return `${ip}:${bound.port}`;
  }

  /** Stops accepting links. Open links stay open. */
  close(): void {
    this.server.close();
  }
}
