/** Stalls of the event loop, and datagrams that lie in a socket meanwhile. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

/** A pair of sockets: what is sent lies in the other one at once, even if the event loop stands still. */
export class DatagramPair {
  private readonly receiver: Socket;
  private readonly sender: Socket;

  private constructor(receiver: Socket, sender: Socket) {
    this.receiver = receiver;
    this.sender = sender;
  }

  /** Opens a pair; `onMessage` is called with what is read. */
  static async open(onMessage: (message: Buffer) => void): Promise<DatagramPair> {
    const [receiver, sender] = [createSocket('udp4'), createSocket('udp4')];
    receiver.on('message', onMessage);
    await new Promise<void>((resolve) => receiver.bind(0, '127.0.0.1', resolve));
    await new Promise<void>((resolve) =>
      sender.connect(receiver.address().port, '127.0.0.1', resolve),
    );
    return new DatagramPair(receiver, sender);
  }

  /** Sends a datagram, one at most in each iteration of the event loop. */
  send(message: Buffer | string): void {
    this.sender.send(message);
  }

  close(): void {
    this.receiver.close();
    this.sender.close();
  }
}
