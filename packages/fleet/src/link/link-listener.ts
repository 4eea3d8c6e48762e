/** Accepts links on an address. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { parseAddress } from '../address.ts';
import type { Transport } from '../trust/transport.ts';

/** Listens for links and hands each new socket to its owner. */
export class LinkListener {
  private readonly server: Server;

  constructor(transport: Transport, onSocket: (socket: Socket) => void) {
    this.server = transport.createServer(onSocket);
  }

  /** Starts to listen; returns the address in use. Rejects when the address cannot be had. */
  async listen(address: string): Promise<string> {
    const { ip, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
    const bound = this.server.address() as AddressInfo;
    return `${ip}:${bound.port}`;
  }

  /** Stops accepting links; those open stay open. */
  close(): void {
    this.server.close();
  }
}
