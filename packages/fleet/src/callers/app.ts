/** Plug-in that serves the callers' HTTP interface and submits their requests to the dispatcher. */
import type { Server, ServerResponse } from 'node:http';
import type { Service } from 'moleculer';
import { v7 as makeUuid } from 'uuid';
import {
  EndpointKind,
  findStopSource,
  pickByRendezvous,
  listPinCandidates,
} from '@poplarpick/decisions';
import type { FleetConfiguration, RouterSettings } from '@poplarpick/decisions';
import {
  ErrorCode,
  Plugin,
  registerPlugin,
  RequestError,
  Role,
  toRequestError,
  Verdict,
} from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import { parseAddress } from '../address.ts';
import type { MemoryBudget } from '../listening/memory-budget.ts';
import { UntakenAnswer } from '../listening/untaken-answer.ts';
import { createGateway, listenGateway, sendJson, stopListening } from '../http-gateway.ts';
import type { GatewayRequest } from '../http-gateway.ts';
import type { Job } from '../messages.ts';
import {
  configurationKey,
  dispatcherKey,
  listenersKey,
  openExchangesKey,
  plannedStopsKey,
  requestRecorderKey,
  routerSettingsKey,
  statusBoardKey,
} from '../component-keys.ts';
import type { RequestRecorder } from '../burn/request-recorder.ts';
import type { AnswerSink } from '../router/answer-sink.ts';
import { DispatcherMessageKind } from '../router/dispatcher-messages.ts';
import type { Dispatcher } from '../router/dispatcher.ts';
import { sendRequestError } from './api-errors.ts';
import {
  ApplicationSink,
  createApplicationJob,
  parseApplicationTarget,
} from './application-call.ts';
import { readBearerToken, WorkspaceKeys } from './authentication.ts';
import {
  ChatStreamSink,
  ChatAggregatingSink,
  createChatJob,
  parseChatRequest,
} from './chat-completions.ts';
import { readBody } from './read-body.ts';
import { sendHttpParserError } from './http-parser-errors.ts';
import { OpenExchanges } from './open-exchanges.ts';
import { readDeadlineMs, readIdempotencyKey, readRunOnceFlag } from './request-headers.ts';

/** Value of `Retry-After` if the router is draining, not yet configured or without an endpoint. */
const UNAVAILABLE_RETRY_AFTER_SECONDS = 1;

/** A caller whose API key was accepted, with the state that its request is served from. */
interface AuthenticatedCaller {
  requestId: string;
  workspace: string;
  configuration: FleetConfiguration;
  keys: WorkspaceKeys;
  recorder: RequestRecorder;
  /** The memory that is held for callers. */
  budget: MemoryBudget;
}

type CallerHandler = (
  caller: AuthenticatedCaller,
  request: GatewayRequest,
  response: ServerResponse,
) => void | Promise<void>;

class CallersPlugin extends Plugin {
  override readonly name = 'callers';
  override readonly roles = [Role.Router];
  override readonly requires = ['router', 'configuration', 'planned-stops', 'burn'];
  private server: Server | undefined;
  private kernel: Kernel | undefined;
  private service: Service | undefined;
  private exchanges: OpenExchanges | undefined;
  private draining = false;
  private markedForStop = false;
  private boundAddress: string | undefined;
  private configuration: FleetConfiguration | undefined;
  private keys: WorkspaceKeys | undefined;
  private recorder: RequestRecorder | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const settings = kernel.resolve(routerSettingsKey);
    const dispatcher = kernel.resolve(dispatcherKey);
    this.recorder = kernel.resolve(requestRecorderKey);
    this.exchanges = new OpenExchanges({
      clock: kernel.clock,
      unreadLimitMs: settings.callers.receive_timeout_ms,
    });
    kernel.provide(openExchangesKey, this.exchanges);
    kernel.resolve(configurationKey).onChange(({ configuration }) => {
      this.configuration = configuration;
      this.keys = new WorkspaceKeys(configuration);
    });
    kernel.resolve(plannedStopsKey).onChange((marks) => {
      this.setMarkedForStop(findStopSource(marks, { host: kernel.host }) !== undefined);
    });
    const chat = this.wrapHandler((caller, request, response) =>
      serveChat(caller, request, response, settings, dispatcher),
    );
    const call = this.wrapHandler((caller, request, response) =>
      serveApplication(caller, request, response, settings, dispatcher),
    );
    this.kernel = kernel;
    this.service = createGateway(kernel.broker, {
      name: 'callers',
      routes: [
        { pattern: 'POST /v1/chat/completions', handler: chat },
        { pattern: 'GET /v1/models', handler: this.wrapHandler(serveModels) },
        { pattern: '* /apps/:service', handler: call },
        { pattern: '* /apps/:service/*path', handler: call },
      ],
      onNotFound: sendPathNotFound,
    });
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    const { kernel, service } = this;
    if (kernel === undefined || service === undefined) return;
    const settings = kernel.resolve(routerSettingsKey);
    const bound = await listenGateway(service, {
      address: settings.callers.address,
      guard: kernel.resolve(listenersKey).guard({
        name: 'callers',
        maxConnections: settings.limits.connections,
      }),
      maxHeaderBytes: settings.callers.header_limit_bytes,
      receiveTimeoutMs: settings.callers.receive_timeout_ms,
      onClientError: sendHttpParserError,
    });
    this.server = bound.server;
    bound.server.on('request', (_request, response) => this.exchanges?.add(response));
    this.boundAddress = bound.address;
    if (this.markedForStop) {
      stopListening(this.server);
      this.exchanges?.beginLimit();
    }
    kernel.resolve(statusBoardKey).add('address.callers', () => bound.address);
    kernel.log.info({ event: 'callers.listening', address: bound.address });
  }

  /** Accepts no new connections and waits until the open requests have their whole answers. */
  override async drain(): Promise<void> {
    this.draining = true;
    if (this.server !== undefined) stopListening(this.server);
    this.exchanges?.beginLimit();
    await this.exchanges?.waitUntilIdle();
  }

  override async stop(): Promise<void> {
    this.exchanges?.endLimit();
    this.server?.close();
    this.server?.closeIdleConnections();
    this.server?.closeAllConnections();
    return Promise.resolve();
  }

  /** Accepts no new connections while the router is marked for a planned stop; open ones finish. */
  private setMarkedForStop(marked: boolean): void {
    if (this.markedForStop === marked) return;
    this.markedForStop = marked;
    const { server, boundAddress } = this;
    if (server === undefined || boundAddress === undefined || this.draining) return;
    if (marked) {
      stopListening(server);
      this.exchanges?.beginLimit();
      return;
    }
    this.exchanges?.endLimit();
    const { ip, port } = parseAddress(boundAddress);
    server.once('error', (error) => {
      this.kernel?.log.error({ event: 'callers.not_listening', error: error.message });
    });
    server.listen(port, ip);
  }

  /** Wraps a handler: authenticates each request first and sends any error as the response. */
  private wrapHandler(handler: CallerHandler) {
    return async (request: GatewayRequest, response: ServerResponse): Promise<void> => {
      const requestId = makeUuid();
      try {
        const caller = this.authenticate(request, requestId);
        const { budget, workspace: owner } = caller;
        new UntakenAnswer({ response, budget, owner });
        await handler(caller, request, response);
      } catch (error) {
        const failure = toRequestError(error, Verdict.NotRun);
        const isFull = failure.code === ErrorCode.Overloaded;
        if (isFull || this.draining || this.markedForStop) response.shouldKeepAlive = false;
        sendRequestError(response, failure, requestId);
      }
    };
  }

  private authenticate(request: GatewayRequest, requestId: string): AuthenticatedCaller {
    const { configuration, keys, recorder, kernel } = this;
    if (kernel === undefined || recorder === undefined) throw new Error('not started');
    if (this.draining || this.markedForStop)
      throw createUnavailableError('this router is draining', ErrorCode.Draining);
    if (configuration === undefined || keys === undefined) {
      throw createUnavailableError('this router has no configuration yet', ErrorCode.NoEndpoint);
    }
    const workspace = keys.findWorkspace(readBearerToken(request));
    if (workspace === undefined) {
      throw new RequestError('the API key is not known', {
        code: ErrorCode.InvalidApiKey,
        verdict: Verdict.NotRun,
      });
    }
    const { budget } = kernel.resolve(listenersKey);
    return { requestId, workspace, configuration, keys, recorder, budget };
  }
}

async function serveChat(
  caller: AuthenticatedCaller,
  request: GatewayRequest,
  response: ServerResponse,
  settings: RouterSettings,
  dispatcher: Dispatcher,
): Promise<void> {
  const { requestId, workspace, configuration } = caller;
  const body = await readCallerBody(caller, request, response, settings);
  const chat = parseChatRequest(body);
  if (!configuration.models.some((model) => model.name === chat.model)) {
    throw new RequestError(`no model is named ${chat.model}`, {
      code: ErrorCode.ModelNotFound,
      verdict: Verdict.NotRun,
    });
  }
  const idempotencyKey = readIdempotencyKey(request.headers);
  const repeatable = idempotencyKey === undefined && !readRunOnceFlag(request.headers);
  const job = createChatJob({ request: chat, workspace, repeatable, idempotencyKey });
  const includeUsage = chat.stream_options?.include_usage === true;
  const sink =
    chat.stream === true
      ? new ChatStreamSink(response, requestId, includeUsage)
      : new ChatAggregatingSink(response, requestId);
  submit({ caller, request, response, settings, dispatcher, job, sink });
}

async function serveApplication(
  caller: AuthenticatedCaller,
  request: GatewayRequest,
  response: ServerResponse,
  settings: RouterSettings,
  dispatcher: Dispatcher,
): Promise<void> {
  const target = parseApplicationTarget(request.originalUrl);
  const service = caller.configuration.services.find((entry) => entry.name === target.service);
  if (service === undefined) {
    throw new RequestError(`no service is named ${target.service}`, {
      code: ErrorCode.ServiceNotFound,
      verdict: Verdict.NotRun,
    });
  }
  const idempotencyKey = readIdempotencyKey(request.headers);
  const body = await readCallerBody(caller, request, response, settings);
  const { workspace } = caller;
  const job = createApplicationJob({
    request,
    service,
    path: target.path,
    workspace,
    body,
    idempotencyKey,
  });
  const sink = new ApplicationSink(response, caller.requestId);
  submit({ caller, request, response, settings, dispatcher, job, sink });
}

/** Reads the body of a request; what is held for the request is released when its response closes. */
async function readCallerBody(
  { budget, workspace: owner }: AuthenticatedCaller,
  request: GatewayRequest,
  response: ServerResponse,
  settings: RouterSettings,
): Promise<Buffer> {
  const limitBytes = settings.callers.body_limit_bytes;
  return readBody(request, { response, limitBytes, budget, owner });
}

function serveModels(
  caller: AuthenticatedCaller,
  _request: GatewayRequest,
  response: ServerResponse,
): void {
  const data = caller.configuration.models.map((model) => ({
    id: model.name,
    object: 'model',
    created: 0,
    owned_by: 'poplarpick',
  }));
  sendJson(response, 200, { object: 'list', data });
}

interface SubmitOptions {
  caller: AuthenticatedCaller;
  request: GatewayRequest;
  response: ServerResponse;
  settings: RouterSettings;
  dispatcher: Dispatcher;
  job: Job;
  sink: AnswerSink;
}

function submit(options: SubmitOptions): void {
  const { caller, request, response, dispatcher, job, sink } = options;
  const id = caller.requestId;
  const deadlineMs = readDeadlineMs(request.headers, options.settings.callers.default_deadline_ms);
  const candidates = listCandidateEndpoints(caller.configuration, job);
  if (candidates.length === 0)
    throw createUnavailableError(`no endpoint serves ${job.pool}`, ErrorCode.NoEndpoint);
  const pin = selectPinnedEndpoint(caller.configuration, job);
  response.on('close', () => {
    if (!response.writableFinished)
      dispatcher.post({ kind: DispatcherMessageKind.Abandon, request: id });
  });
  dispatcher.post({
    kind: DispatcherMessageKind.Submit,
    submission: caller.recorder.record({ id, job, pin, deadlineMs, sink }, caller.configuration),
  });
}

/** Names of the endpoints that can run a job according to the configuration. */
function listCandidateEndpoints(configuration: FleetConfiguration, job: Job): string[] {
  return configuration.endpoints
    .filter((endpoint) =>
      endpoint.kind === EndpointKind.Model
        ? endpoint.models.includes(job.pool)
        : endpoint.service === job.pool,
    )
    .map((endpoint) => endpoint.name);
}

/**
 * Selects the endpoint for a request with an idempotency key. Requests with the same key go to the
 * same endpoint, whose sidecar has the idempotency cache. Returns undefined if there is no key.
 */
function selectPinnedEndpoint(configuration: FleetConfiguration, job: Job): string | undefined {
  if (job.idempotencyKey === undefined) return undefined;
  const pin = pickByRendezvous(job.idempotencyKey, listPinCandidates(configuration, job.pool));
  if (pin !== undefined) return pin;
  throw createUnavailableError(`all endpoints of ${job.pool} are leaving`, ErrorCode.NoEndpoint);
}

function sendPathNotFound(response: ServerResponse): void {
  const options = { code: ErrorCode.PathNotFound, verdict: Verdict.NotRun };
  sendRequestError(
    response,
    new RequestError('there is nothing at this path', options),
    makeUuid(),
  );
}

function createUnavailableError(message: string, code: ErrorCode): RequestError {
  return new RequestError(message, {
    code,
    verdict: Verdict.NotRun,
    retryAfterSeconds: UNAVAILABLE_RETRY_AFTER_SECONDS,
  });
}

registerPlugin(() => new CallersPlugin());
