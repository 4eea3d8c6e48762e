/**
 * HTTP server for callers. Reads each request completely, checks it and starts a `Call` for it. Node's
 * own parser rejects requests that could smuggle a second one.
 */
import { STATUS_CODES } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { HoldingKind, LogRateLimiter } from '@poplarpick/decisions';
import type { StreamOrigin } from '@poplarpick/decisions';
import { ErrorCode, pollSockets, RequestError, toRequestError, Verdict } from '@poplarpick/kernel';
import type { CallHead } from '../calls/call-protocol.ts';
import { ResponseWriter } from '../calls/response-writer.ts';
import { Call } from '../calls/call.ts';
import { CallPlacer } from '../calls/call-placer.ts';
import type { RouterState } from '../router-state.ts';
import type { Rotation } from '../rotation.ts';
import type { ResumptionResolver } from '../streams/resumption-resolver.ts';
import { AwaitedBodies } from './awaited-bodies.ts';
import {
  checkCall,
  createStopError,
  readResumedEvent,
  sendElsewhere,
  toStopCandidate,
} from './call-checks.ts';
import type { CheckedCall } from './call-checks.ts';
import { CallerConnections } from './caller-connection.ts';
import { CallerListener } from './caller-listener.ts';

/**
 * Largest head of a request that the HTTP parser reads, in bytes. The limit of the routing table is checked
 * after that, since the parser's own can't be changed while the server runs.
 */
const PARSER_HEADER_BYTES = 65_536;

/** Bytes around the name and the value of a header: colon, space and line break. */
const HEADER_OVERHEAD_BYTES = 4;

/** Bytes around the method and the target in the request line: two spaces, the version and a line break. */
const REQUEST_LINE_OVERHEAD_BYTES = 12;

/** Time beyond the idle limit after which an idle connection is closed, in ms. */
const IDLE_MARGIN_MS = 1_000;

/** Period of the check for stalled streams, in ms. */
const STALL_CHECK_PERIOD_MS = 250;

/**
 * Time since the previous check for stalled streams after which a check is skipped, in ms. The router itself was
 * suspended then, and may not have read what its endpoints have sent.
 */
const LATE_STALL_CHECK_MS = 2 * STALL_CHECK_PERIOD_MS;

/** Period of the server's check for callers that exceed the header timeout, in ms. */
const TIMEOUT_CHECK_PERIOD_MS = 500;

/** Last bytes of a connection whose input there is no room for: nothing of it has run or will run. */
const NO_MEMORY_RESPONSE =
  'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Options of a `CallIngress`. */
export interface CallIngressOptions {
  address: string;
  state: RouterState;
  rotation: Rotation;
  resumptions: ResumptionResolver;
  /** Called when a comparison of the clocks shows that the host may have been suspended. */
  onSuspension: () => void;
}

/** A request with its response. */
interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
  /** The request began after the cutoff of a planned stop. */
  isAfterCutoff: boolean;
  /** Resolves when the responses to earlier requests on the connection have ended. */
  turn: Promise<void>;
}

/** Accepts requests from callers. */
export class CallIngress {
  private readonly options: CallIngressOptions;
  private readonly placer: CallPlacer;
  private readonly server: Server;
  private readonly listener: CallerListener;
  private readonly connections = new CallerConnections();
  private readonly calls = new Set<Call>();
  private readonly bodies: AwaitedBodies;
  private readonly refusalLines = new LogRateLimiter();
  /** Open requests: from the arrival of the head to the end of the response. */
  private openCount = 0;
  /** Open requests that began after the cutoff. */
  private openAfterCutoffCount = 0;
  /** Monotonic time of the latest check for stalled streams, in ms. */
  private stallsCheckedAt: number;

  constructor(options: CallIngressOptions) {
    this.options = options;
    this.stallsCheckedAt = options.state.clock.monotonic();
    this.placer = new CallPlacer(options.state);
    this.bodies = new AwaitedBodies(options.state);
    const { address, state } = options;
    const guard = state.listeners.guard({
      name: 'callers',
      maxConnections: state.connectionLimits.callers,
      maxNewcomers: state.connectionLimits.newcomers,
      maxHeadBytes: () => state.callerLimits.headerBytes,
      onInputRefused: (socket) => this.connections.of(socket).rejectRest(NO_MEMORY_RESPONSE),
    });
    this.server = guard.createHttpServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        headersTimeout: options.state.callerLimits.headerTimeoutMs,
        requestTimeout: 0,
        keepAliveTimeout: options.state.callerLimits.idleTimeoutMs,
        keepAliveTimeoutBuffer: IDLE_MARGIN_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS,
        noDelay: true,
      },
      (request, response) => void this.serve(request, response),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.respondToParserError(error, socket as Socket);
    });
    this.server.on('timeout', (socket) => void closeIfIdle(socket));
    this.listener = new CallerListener({ address, server: this.server, guard, log: state.log });
  }

  /** Starts listening. Rejects when the address can't be bound. */
  async open(): Promise<void> {
    const { state } = this.options;
    this.applyTimeouts();
    state.onRoutesChange(() => this.applyTimeouts());
    await this.listener.open();
    state.clock.every(STALL_CHECK_PERIOD_MS, () => this.checkStalls());
  }

  /** Number of requests that are being received or served. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Number of open requests that began before the cutoff. */
  get openRequestsBeforeCutoff(): number {
    return this.openCount - this.openAfterCutoffCount;
  }

  /** Refuses the requests whose bodies are still awaited and that what is left of a planned stop can't hold. */
  refuseUnfitting(): void {
    this.bodies.refuseUnfitting();
  }

  /** Ends all calls with honest answers. */
  endCalls(): void {
    for (const call of this.calls) call.endNow('the router is stopping', ErrorCode.EndpointFailed);
  }

  /** Accepts no more connections and closes idle ones. */
  stopListening(): void {
    this.listener.close();
    this.server.closeIdleConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { state } = this.options;
    const arrivedAt = state.clock.monotonic();
    const isAfterCutoff = this.trackRequest(response);
    const connection = this.connections.of(request.socket);
    const turn = connection.add({ request, response });
    response.once('close', () => state.link.recordCallerBytes(connection.takeBytes()));
    let closes = false;
    const writer = new ResponseWriter(response, () => closes || this.shouldCloseConnections());
    try {
      await this.accept({ request, response, arrivedAt, isAfterCutoff, turn });
    } catch (error) {
      const failure = toRequestError(error, Verdict.NotRun);
      this.logRefusal(request, failure, arrivedAt);
      // What still comes of a body that there is no room for isn't worth reading.
      closes = failure.code === ErrorCode.Overloaded || failure.code === ErrorCode.ReceiveTimeout;
      const isMoved = this.shouldCloseConnections();
      writer.sendError(isMoved ? sendElsewhere(failure) : failure, request);
    }
  }

  private shouldCloseConnections(): boolean {
    return this.options.rotation.shouldMoveCallers;
  }

  /** Counts a request as open until its response closes; true if it began after the cutoff. */
  private trackRequest(response: ServerResponse): boolean {
    const isAfterCutoff = this.options.state.stop.isPastCutoff;
    this.openCount += 1;
    if (isAfterCutoff) this.openAfterCutoffCount += 1;
    response.once('close', () => {
      this.openCount -= 1;
      if (isAfterCutoff) this.openAfterCutoffCount -= 1;
    });
    return isAfterCutoff;
  }

  private async accept(exchange: Exchange): Promise<void> {
    const { state } = this.options;
    const { request, response, arrivedAt, isAfterCutoff, turn } = exchange;
    const { method = 'GET', url = '/' } = request;
    if (headBytes(request) > state.callerLimits.headerBytes) throw createHeadTooLargeError();
    const read = isAfterCutoff ? undefined : await this.bodies.read(exchange);
    await turn;
    await pollSockets();
    if (hasDisconnected(request)) {
      this.logDrop(request, arrivedAt);
      return;
    }
    if (isAfterCutoff) throw createStopError();
    const head = state.protocol.decodeCall(method, url, request.rawHeaders);
    const now = state.clock.monotonic();
    if (state.freshness.detectSuspension(now, state.clock.now())) this.options.onSuspension();
    const checked = checkCall(head, state, now);
    if (checked.workspace !== undefined)
      read?.holding.become(HoldingKind.ServedRequest, checked.workspace);
    const resumedAfter = readResumedEvent(head, checked.route);
    const origin = resumedAfter === undefined ? undefined : await this.resolveOrigin(head, checked);
    if (origin !== undefined && hasDisconnected(request)) {
      this.logDrop(request, arrivedAt);
      return;
    }
    const { route, workspace } = checked;
    const candidate = toStopCandidate(head, route, arrivedAt);
    const fitsStop = (): boolean => state.stop.canHold(candidate);
    if (!fitsStop()) throw createStopError();
    const call = new Call({
      state,
      placer: this.placer,
      head,
      route,
      pool: origin?.pool ?? checked.pool,
      origin,
      resumedAfter,
      workspace,
      body: read?.body,
      response,
      arrivedAt,
      shouldCloseConnection: () => this.shouldCloseConnections(),
      isKeyValid: () => isKeyStillValid(state, head.apiKey, workspace),
      fitsStop,
      onEnd: (ended) => this.calls.delete(ended),
    });
    this.calls.add(call);
    call.start();
  }

  /** The origin of the stream that a call resumes. Rejects if it can't be proved. */
  private async resolveOrigin(
    head: CallHead,
    { route, workspace }: CheckedCall,
  ): Promise<StreamOrigin> {
    const origin = await this.options.resumptions.resolve({ head, route, workspace });
    const { apiKey } = head;
    if (!isKeyStillValid(this.options.state, apiKey, workspace)) throw createKeyError();
    return origin;
  }

  /** Applies the current timeouts to the server and to the connections that are idle now. */
  private applyTimeouts(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.options.state.callerLimits;
    const isLonger = idleTimeoutMs > this.server.keepAliveTimeout;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
    if (isLonger) this.connections.extendIdleTimeout(idleTimeoutMs + IDLE_MARGIN_MS);
  }

  private checkStalls(): void {
    const now = this.options.state.clock.monotonic();
    const isLate = now - this.stallsCheckedAt > LATE_STALL_CHECK_MS;
    this.stallsCheckedAt = now;
    if (isLate) return;
    for (const call of this.calls) call.checkStall(now);
  }

  /** Responds to bytes that the HTTP parser rejects, after the responses to the requests before them. */
  private respondToParserError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET' || (!socket.writable && socket.writableFinished)) {
      socket.destroy();
      return;
    }
    const status = PARSER_ERROR_STATUS[error.code ?? ''] ?? 400;
    const rejection = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    // A caller that has ended its side doesn't wait for its responses.
    if (socket.readableEnded) socket.end(rejection);
    else this.connections.of(socket).rejectRest(rejection);
  }

  /** Logs that a whole request is not passed on, since its response could not be sent. */
  private logDrop(request: IncomingMessage, arrivedAt: number): void {
    const { log, clock, routes, protocol } = this.options.state;
    const { socket } = request;
    log.info({
      event: 'call.dropped',
      request: protocol.decodeRequestId(request.rawHeaders),
      reason: socket.readableEnded ? 'the caller has ended' : 'the connection is ended',
      target: request.url,
      total_ms: Math.round(clock.monotonic() - arrivedAt),
      version: routes?.table.version,
    });
  }

  private logRefusal(request: IncomingMessage, error: RequestError, arrivedAt: number): void {
    const { log, freshness, clock, routes, metrics, protocol } = this.options.state;
    metrics.recordUnplaced(error.code);
    const now = clock.monotonic();
    if (!this.refusalLines.tryAcquire(now)) return;
    const suppressedLines = this.refusalLines.takeSuppressedCount();
    log.info({
      event: 'call.refused_unplaced',
      request: protocol.decodeRequestId(request.rawHeaders),
      code: error.code,
      reason: error.message,
      target: request.url,
      host_name: request.headers.host,
      total_ms: Math.round(now - arrivedAt),
      key_age_ms: Math.round(Math.min(1e9, freshness.ageMs(now))),
      version: routes?.table.version,
      left_out: suppressedLines === 0 ? undefined : suppressedLines,
    });
  }
}

/**
 * Closes a connection whose idle time is over. After the process was stalled, a request may be pending on it;
 * the event loop runs its timers before it reads that request.
 */
async function closeIfIdle(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await pollSockets();
  if (socket.bytesRead === bytesRead) socket.destroy();
}

function hasDisconnected({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded || socket.writableEnded;
}

function isKeyStillValid(state: RouterState, key: string | undefined, workspace?: string): boolean {
  if (workspace === undefined) return true;
  if (!state.freshness.isFresh(state.clock.monotonic())) return false;
  return key !== undefined && state.routes?.findWorkspace(key) === workspace;
}

/** Size of the head of a request, in bytes. */
function headBytes({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  let bytes = method.length + url.length + REQUEST_LINE_OVERHEAD_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes + (rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
}

/** The refusal of a call whose key was taken away, or may have been, while its stream was looked up. */
function createKeyError(): RequestError {
  return new RequestError('the key may have been revoked', {
    code: ErrorCode.NoEndpoint,
    verdict: Verdict.NotRun,
  });
}

function createHeadTooLargeError(): RequestError {
  return new RequestError('the headers are too large', {
    code: ErrorCode.HeadersTooLarge,
    verdict: Verdict.NotRun,
  });
}

const PARSER_ERROR_STATUS: Record<string, number> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
