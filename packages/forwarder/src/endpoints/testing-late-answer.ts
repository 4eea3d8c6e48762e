/** An endpoint on a thread of its own, which goes on answering while the event loop of the test stands still. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Answers each request with a head at once, and with its body of one byte a moment later. */
const ENDPOINT = `
const { createServer } = require('node:net');
const { parentPort, workerData: { heads } } = require('node:worker_threads');
const server = createServer((socket) => {
  socket.on('error', () => undefined);
  socket.on('data', () => {
    socket.write('HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n\\r\\n');
    Atomics.add(heads, 0, 1);
    setTimeout(() => socket.write('5'), 100);
  });
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** The endpoint. */
export class LateAnswer {
  readonly address: string;
  private readonly worker: Worker;
  private readonly heads: Int32Array;

  private constructor(worker: Worker, port: number, heads: Int32Array) {
    this.worker = worker;
    this.address = `127.0.0.1:${port}`;
    this.heads = heads;
  }

  static async open(): Promise<LateAnswer> {
    const heads = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(ENDPOINT, { eval: true, workerData: { heads } });
    const [port] = (await once(worker, 'message')) as [number];
    return new LateAnswer(worker, port, heads);
  }

  /** Resolves once the endpoint has sent the head of its first answer; its body follows later. */
  async awaitHead(): Promise<void> {
    while (this.heads[0] === 0) await new Promise(setImmediate);
  }

  async close(): Promise<void> {
    await this.worker.terminate();
  }
}
