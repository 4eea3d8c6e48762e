/**
 * Plug-ins for operators: the status board, its moleculer service, and the read-only HTTP interface.
 * Every answer needs an operator's key, whose hash is in the fleet configuration.
 */
import type { Server } from 'node:http';
import type { Service } from 'moleculer';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import { isKnownKey, readBearer } from '../callers/authentication.ts';
import { createGateway, listenGateway, sendJson } from '../http-gateway.ts';
import type { GatewayHandler } from '../http-gateway.ts';
import {
  configurationKey,
  identityKey,
  routerSettingsKey,
  sidecarSettingsKey,
  statusBoardKey,
} from '../parts.ts';
import { StatusBoard } from './status-board.ts';

const HEADER_LIMIT_BYTES = 8_192;
const RECEIVE_TIMEOUT_MS = 5_000;

class StatusPlugin extends Plugin {
  override readonly name = 'status';
  override readonly roles = [Role.Router, Role.Sidecar];

  override async start(kernel: Kernel): Promise<void> {
    const board = new StatusBoard();
    kernel.provide(statusBoardKey, board);
    const identity = kernel.part(identityKey);
    board.add('process', () => ({
      ...identity,
      role: kernel.role,
      pid: process.pid,
      rssBytes: process.memoryUsage.rss(),
    }));
    kernel.broker.createService({ name: 'status', actions: { show: () => board.read() } });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

class OperatorsPlugin extends Plugin {
  override readonly name = 'operators';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['status', 'configuration'];
  private server: Server | undefined;
  private kernel: Kernel | undefined;
  private service: Service | undefined;

  override async start(kernel: Kernel): Promise<void> {
    this.kernel = kernel;
    const showStatus: GatewayHandler = async (request, response) => {
      const hashes = kernel.part(configurationKey).current?.configuration.operator_key_hashes ?? [];
      if (!isKnownKey(readBearer(request), hashes)) {
        sendJson(response, 401, {
          error: { code: 'invalid_api_key', message: 'an operator key is needed' },
        });
        return;
      }
      sendJson(response, 200, await kernel.broker.call('status.show'));
    };
    this.service = createGateway(kernel.broker, {
      name: 'operators',
      routes: [{ pattern: 'GET /v1/status', handler: showStatus }],
    });
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    const { kernel, service } = this;
    if (kernel === undefined || service === undefined) return;
    const settings =
      kernel.role === Role.Router
        ? kernel.part(routerSettingsKey)
        : kernel.part(sidecarSettingsKey);
    const bound = await listenGateway(service, {
      address: settings.operators.address,
      headerLimitBytes: HEADER_LIMIT_BYTES,
      receiveTimeoutMs: RECEIVE_TIMEOUT_MS,
    });
    this.server = bound.server;
    kernel.part(statusBoardKey).add('address.operators', () => bound.address);
    kernel.log.info({ event: 'operators.listening', address: bound.address });
  }

  override async stop(): Promise<void> {
    this.server?.closeAllConnections();
    this.server?.close();
    return Promise.resolve();
  }
}

registerPlugin(() => new StatusPlugin());
registerPlugin(() => new OperatorsPlugin());
