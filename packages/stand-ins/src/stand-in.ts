/** Base class of the stand-ins: an HTTP server on its own moleculer broker. */
import type { Server } from 'node:http';
import { ServiceBroker } from 'moleculer';
import { createGateway, listenGateway } from '@poplarpick/fleet';
import type { GatewayHandler, GatewayRequest } from '@poplarpick/fleet';
import type { ListenerGuard } from '@poplarpick/fleet/listening/listener-guard';
import { ProcessListeners } from '@poplarpick/fleet/listening/process-listeners';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';

const HEADER_LIMIT_BYTES = 16_384;
const RECEIVE_TIMEOUT_MS = 30_000;
const MAX_CONNECTIONS = 10_000;
const HELD_BYTES = 1e9;

/** Loopback address with a port chosen by the operating system. */
export const EPHEMERAL_ADDRESS = '127.0.0.1:0';

/** One route of a stand-in. */
export interface StandInRoute {
  pattern: string;
  handler: GatewayHandler;
}

/** An emulator of an external system, served over HTTP. */
export abstract class StandIn {
  private readonly name: string;
  private broker: ServiceBroker | undefined;
  private server: Server | undefined;
  private boundAddress = '';

  constructor(name: string) {
    this.name = name;
  }

  /** The listening address (ip:port); empty before `start`. */
  get address(): string {
    return this.boundAddress;
  }

  /** Base URL; valid after `start`. */
  get url(): string {
    return `http://${this.boundAddress}`;
  }

  /** Starts the HTTP server on an address. */
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
      guard: createGuard(this.name),
      maxHeaderBytes: HEADER_LIMIT_BYTES,
      receiveTimeoutMs: RECEIVE_TIMEOUT_MS,
    });
    this.server = listening.server;
    this.boundAddress = listening.address;
    return this;
  }

  /** Closes the server and all its connections without waiting for open requests. */
  async stop(): Promise<void> {
    this.server?.closeAllConnections();
    this.server?.close();
    await this.broker?.stop();
  }

  protected abstract routes(): StandInRoute[];
}

/** Reads the body of a request as UTF-8 text. */
export async function readText(request: GatewayRequest): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Parses the query parameters of a request. */
export function readQuery(request: GatewayRequest): URLSearchParams {
  return new URL(request.originalUrl, 'http://stand-in').searchParams;
}

/** A guard that no test reaches the bounds of. */
function createGuard(name: string): ListenerGuard {
  const log = createLogger({ level: LogLevel.Silent });
  const listeners = new ProcessListeners({
    clock: new SystemClock(),
    log,
    budgetBytes: HELD_BYTES,
  });
  return listeners.guard({ name, maxConnections: MAX_CONNECTIONS });
}
