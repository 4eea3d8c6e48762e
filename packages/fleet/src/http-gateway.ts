/**
 * HTTP servers that use moleculer-web in middleware mode. Routes are moleculer aliases with plain
 * handlers. This module creates the HTTP server itself, so that its limits can be set.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as SocketServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import type { Service, ServiceBroker } from 'moleculer';
import webGateway from 'moleculer-web';
import { parseAddress } from './address.ts';
import { endAfterRest } from './end-after-rest.ts';
import type { ListenerGuard } from './listening/listener-guard.ts';

/** A request as moleculer-web passes it to a handler. */
export interface GatewayRequest extends IncomingMessage {
  originalUrl: string;
}

/** Handles one request. */
export type GatewayHandler = (
  request: GatewayRequest,
  response: ServerResponse,
) => void | Promise<void>;

/** A route with a pattern such as `GET /v1/models`; the method `*` matches any method. */
export interface GatewayRoute {
  pattern: string;
  handler: GatewayHandler;
}

/** Options of `createGateway`. */
export interface GatewayOptions {
  name: string;
  routes: GatewayRoute[];
  /** Responds to a request that matches no route; by default with status 404. */
  onNotFound?: (response: ServerResponse) => void;
  /** Responds when a handler has thrown; by default with status 500. */
  onError?: (response: ServerResponse, error: unknown) => void;
}

/** Options of `listenGateway`. */
export interface GatewayListenOptions {
  address: string;
  guard: ListenerGuard;
  maxHeaderBytes: number;
  /** Timeout for receiving the headers, and for receiving the whole request, in milliseconds. */
  receiveTimeoutMs: number;
  /** Responds to a request that the HTTP parser rejects; by default the connection is closed. */
  onClientError?: (socket: Duplex, error: NodeJS.ErrnoException) => void;
}

/** A listening server and its address. */
export interface BoundServer {
  server: Server;
  address: string;
}

/** Creates the moleculer service of a gateway. */
export function createGateway(broker: ServiceBroker, options: GatewayOptions): Service {
  const aliases = Object.fromEntries(options.routes.map((route) => [route.pattern, route.handler]));
  const onNotFound = options.onNotFound ?? sendNotFound;
  const onError = options.onError ?? sendInternalError;
  return broker.createService({
    name: options.name,
    mixins: [webGateway],
    settings: {
      server: false,
      logRequest: null,
      logResponse: null,
      logRouteRegistration: null,
      logRequestParams: null,
      requestTimeout: 0,
      routes: [{ path: '/', bodyParsers: false, mappingPolicy: 'restrict', aliases }],
      onError: (_request: GatewayRequest, response: ServerResponse, error: unknown) => {
        if (isNotFound(error)) onNotFound(response);
        else onError(response, error);
      },
    },
  });
}

/** Starts an HTTP server for a gateway. Rejects if the address cannot be bound. */
export async function listenGateway(
  service: Service,
  options: GatewayListenOptions,
): Promise<BoundServer> {
  const gateway = service as Service & {
    express(): (request: IncomingMessage, response: ServerResponse) => void;
  };
  const serverOptions = {
    maxHeaderSize: options.maxHeaderBytes,
    headersTimeout: options.receiveTimeoutMs,
    requestTimeout: options.receiveTimeoutMs,
    connectionsCheckingInterval: 500,
  };
  const server = options.guard.createHttpServer(serverOptions, gateway.express());
  const { onClientError } = options;
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (onClientError === undefined || !socket.writable) socket.destroy();
    else onClientError(socket, error);
  });
  const { ip, port } = parseAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => resolve());
  });
  const bound = server.address() as AddressInfo;
  return { server, address: `${ip}:${bound.port}` };
}

/**
 * Accepts no more connections and leaves the open ones alone. The HTTP server's own `close` also destroys those with
 * a response that has ended and isn't sent to its end, and checks no more timeouts. Has no effect if the server
 * doesn't listen.
 */
export function stopListening(server: Server): void {
  if (server.listening) SocketServer.prototype.close.call(server);
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  if (response.shouldKeepAlive || response.req.complete) {
    response.end(text);
    return;
  }
  response.write(text);
  endAfterRest(response.req, response);
}

function isNotFound(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 404;
}

function sendNotFound(response: ServerResponse): void {
  sendJson(response, 404, { error: { code: 'not_found', message: 'no such path' } });
}

function sendInternalError(response: ServerResponse): void {
  if (response.headersSent) response.destroy();
  else sendJson(response, 500, { error: { code: 'internal_error', message: 'internal error' } });
}
