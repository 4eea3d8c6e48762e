/**
 * Plug-ins for operators: the status board, its moleculer service, and the read-only HTTP interface.
 * Every request needs an operator key whose hash is in the fleet configuration; a workspace may use its
 * own key to explain its own requests.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Service } from 'moleculer';
import { MIN_CONNECTIONS } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import { matchesKeyHash, readBearerToken } from '../callers/authentication.ts';
import { createGateway, listenGateway, sendJson } from '../http-gateway.ts';
import type { GatewayHandler } from '../http-gateway.ts';
import {
  configurationKey,
  identityKey,
  listenersKey,
  linkHubKey,
  routerSettingsKey,
  sidecarSettingsKey,
  statusBoardKey,
} from '../component-keys.ts';
import { PeerDirectory } from './peer-directory.ts';
import { StatusBoard } from './status-board.ts';

const MAX_HEADER_BYTES = 8_192;
const RECEIVE_TIMEOUT_MS = 5_000;

class StatusPlugin extends Plugin {
  override readonly name = 'status';
  override readonly roles = [Role.Router, Role.Sidecar];

  override async start(kernel: Kernel): Promise<void> {
    const board = new StatusBoard();
    kernel.provide(statusBoardKey, board);
    const identity = kernel.resolve(identityKey);
    board.add('process', () => ({
      ...identity,
      role: kernel.role,
      pid: process.pid,
      rssBytes: process.memoryUsage.rss(),
    }));
    kernel.broker.createService({
      name: 'status',
      actions: {
        show: () => board.read(),
        configuration: () => kernel.resolve(configurationKey).current?.document ?? null,
      },
    });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

class OperatorsPlugin extends Plugin {
  override readonly name = 'operators';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['status', 'configuration', 'links'];
  private server: Server | undefined;
  private kernel: Kernel | undefined;
  private service: Service | undefined;
  private peerDirectory: PeerDirectory | undefined;

  override async start(kernel: Kernel): Promise<void> {
    this.kernel = kernel;
    this.service = createGateway(kernel.broker, {
      name: 'operators',
      routes: [
        { pattern: 'GET /v1/status', handler: createOperatorHandler(kernel, 'status.show') },
        {
          pattern: 'GET /v1/configuration',
          handler: createOperatorHandler(kernel, 'status.configuration'),
        },
        { pattern: 'GET /v1/burn', handler: createOperatorHandler(kernel, 'burn.show') },
        { pattern: 'GET /v1/requests/:id', handler: createExplainHandler(kernel) },
      ],
    });
    this.peerDirectory = new PeerDirectory(kernel.resolve(linkHubKey));
    kernel.resolve(statusBoardKey).add('peers', () => this.peerDirectory?.listPeers() ?? []);
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    const { kernel, service } = this;
    if (kernel === undefined || service === undefined) return;
    const settings =
      kernel.role === Role.Router
        ? kernel.resolve(routerSettingsKey)
        : kernel.resolve(sidecarSettingsKey);
    const bound = await listenGateway(service, {
      address: settings.operators.address,
      guard: kernel
        .resolve(listenersKey)
        .guard({ name: 'operators', maxConnections: MIN_CONNECTIONS }),
      maxHeaderBytes: MAX_HEADER_BYTES,
      receiveTimeoutMs: RECEIVE_TIMEOUT_MS,
    });
    this.server = bound.server;
    kernel.resolve(listenersKey).open();
    this.peerDirectory?.announce(bound.address);
    kernel.resolve(statusBoardKey).add('address.operators', () => bound.address);
    kernel.log.info({ event: 'operators.listening', address: bound.address });
  }

  override async stop(): Promise<void> {
    this.kernel?.resolve(listenersKey).close();
    this.server?.closeAllConnections();
    this.server?.close();
    return Promise.resolve();
  }
}

/** Creates a handler that returns the result of a moleculer action to callers with an operator key. */
function createOperatorHandler(kernel: Kernel, action: string): GatewayHandler {
  return async (request, response) => {
    if (!isOperator(kernel, readBearerToken(request))) sendUnauthorized(response);
    else await sendActionResult(kernel, response, action, {});
  };
}

/** Creates the handler that explains a request: any request to operators, its own to a workspace. */
function createExplainHandler(kernel: Kernel): GatewayHandler {
  return async (request, response) => {
    const key = readBearerToken(request);
    const operator = isOperator(kernel, key);
    const workspace = operator ? undefined : findWorkspace(kernel, key);
    if (!operator && workspace === undefined) {
      sendUnauthorized(response);
      return;
    }
    const id = request.originalUrl.split('?')[0]?.split('/').at(-1) ?? '';
    await sendActionResult(kernel, response, 'explain.show', { request: id, workspace });
  };
}

async function sendActionResult(
  kernel: Kernel,
  response: ServerResponse,
  action: string,
  query: Record<string, unknown>,
): Promise<void> {
  const answer = await kernel.broker.call<unknown, Record<string, unknown>>(action, query);
  if (answer === null)
    sendJson(response, 404, { error: { code: 'not_found', message: 'nothing is known about it' } });
  else sendJson(response, 200, answer);
}

function isOperator(kernel: Kernel, key: string | undefined): boolean {
  const { configuration } = kernel.resolve(configurationKey).current ?? {};
  return matchesKeyHash(key, configuration?.operator_key_hashes ?? []);
}

/** Finds the workspace that a key belongs to. Such calls are rare, so a linear search is enough. */
function findWorkspace(kernel: Kernel, key: string | undefined): string | undefined {
  const { configuration } = kernel.resolve(configurationKey).current ?? {};
  return configuration?.workspaces.find((entry) => matchesKeyHash(key, entry.key_hashes))?.name;
}

function sendUnauthorized(response: ServerResponse): void {
  sendJson(response, 401, {
    error: { code: 'invalid_api_key', message: 'an operator key is needed' },
  });
}

registerPlugin(() => new StatusPlugin());
registerPlugin(() => new OperatorsPlugin());
