/** What all stand-ins share: one HTTP server on a moleculer broker of their own. */
import type { Server } from 'node:http';
import { ServiceBroker } from 'moleculer';
import { createGateway, listenGateway } from '@poplarpick/fleet';
import type { GatewayHandler, GatewayRequest } from '@poplarpick/fleet';

const HEADER_LIMIT_BYTES = 16_384;
const RECEIVE_TIMEOUT_MS = 30_000;

/** Address with a port that the operating system picks. */
export const EPHEMERAL_ADDRESS = '127.0.0.1:0';

/** One route of a stand-in. */
export interface StandInRoute {
  pattern: string;
  handler: GatewayHandler;
}

/** A stand-in for an outside system, served over HTTP. */
export abstract class StandIn {
  private readonly name: string;
  private broker: ServiceBroker | undefined;
  private server: Server | undefined;
  private bound = '';

  constructor(name: string) {
    this.name = name;
  }

  /** Address in use, once started. */
  get address(): string {
    return this.bound;
  }

  /** Base URL, once started. */
  get url(): string {
    return `http://${this.bound}`;
  }

  /** Starts to serve on an address. */
  async start(address = EPHEMERAL_ADDRESS): Promise<this> {
    this.broker = new ServiceBroker({
      nodeID: this.name,
      logger: false,
      skipProcessEventRegistration: true,
    });
    const service = createGateway(this.broker, { name: 'stand-in', routes: this.routes() });
    await this.broker.start();
    const listening = await listenGateway(service, {
      address,
      headerLimitBytes: HEADER_LIMIT_BYTES,
      receiveTimeoutMs: RECEIVE_TIMEOUT_MS,
    });
    this.server = listening.server;
    this.bound = listening.address;
    return this;
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    this.server?.closeAllConnections();
    this.server?.close();
    await this.broker?.stop();
  }

  protected abstract routes(): StandInRoute[];
}

/** Reads a request's body as text. */
export async function readText(request: GatewayRequest): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Query parameters of a request. */
export function readQuery(request: GatewayRequest): URLSearchParams {
  return new URL(request.originalUrl, 'http://stand-in').searchParams;
}
