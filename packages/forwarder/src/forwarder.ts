/**
 * Plug-in of a router that forwards calls directly to endpoints. Wires up its state, the HTTP server
 * for callers, the readiness endpoint, the exchange with its peers, and the drain.
 */
import { Plugin, Role } from '@poplarpick/kernel';
import type { Clock, Kernel, Logger, LogOutput, Timer } from '@poplarpick/kernel';
import type { CallProtocol } from './calls/call-protocol.ts';
import { RouteExplainer } from './explain/route-explainer.ts';
import { CallIngress } from './ingress/call-ingress.ts';
import { ReadinessServer } from './ingress/readiness.ts';
import { PeerExchange } from './peers/peer-exchange.ts';
import { StateFollower } from './peers/state-follower.ts';
import { StateServer } from './peers/state-server.ts';
import { Rotation } from './rotation.ts';
import { RouterState } from './router-state.ts';
import { OriginExchange } from './streams/origin-exchange.ts';
import { isOriginMessage } from './streams/origin-message.ts';
import { ResumptionResolver } from './streams/resumption-resolver.ts';
import type { ProcessLimits } from './process-limits.ts';
import type { RouterBounds } from './router-options.ts';

/** Time in which callers get the last answers after all calls were ended, in ms. */
const LAST_ANSWERS_MS = 250;

const DRAIN_CHECK_PERIOD_MS = 50;

/** Options of a `Forwarder`. */
export interface ForwarderOptions {
  dataCentre: string;
  /** Region of each data centre. */
  regions?: ReadonlyMap<string, string> | undefined;
  callersAddress: string;
  readinessAddress: string;
  readinessPath: string;
  peersAddress: string;
  /** Address at which metrics are served; they aren't served if it is undefined. */
  metricsAddress?: string | undefined;
  /** Output that the log writes to. */
  logOutput?: LogOutput | undefined;
  bounds: RouterBounds;
  /** Limits of the host; those of a small host by default. */
  limits?: ProcessLimits | undefined;
  /** Extra work that hedges may cause, as a fraction of the work of first attempts; 0 by default, which is off. */
  hedgeExtraWork?: number | undefined;
  /** Time between the signal to stop and the end of the process, in ms. */
  graceMs: number;
  protocol: CallProtocol;
  /** The whole system starts for the first time. */
  isFirstStart: boolean;
  /** Called with whether this router has to read the store, when that changes. */
  onReaderChange: (isReader: boolean) => void;
  /** Called when the endpoints that were read from the store were replaced with the list of a peer. */
  onEndpointsReplaced: () => void;
  /** Called when the list of endpoints should be confirmed at once, if this router reads the store. */
  onConfirmationWanted: () => void;
  /** Called when a comparison of the clocks shows that the host may have been suspended. */
  onSuspension: () => void;
}

/** Runs a forwarding router. */
export class Forwarder extends Plugin {
  override readonly name = 'forwarder';
  override readonly roles = [Role.Router];
  readonly state: RouterState;
  private readonly rotation: Rotation;
  private readonly options: ForwarderOptions;
  private readonly clock: Clock;
  private readonly log: Logger;
  private wasReady = false;
  private readonly ingress: CallIngress;
  private readonly readiness: ReadinessServer;
  private readonly peers: PeerExchange;
  private readonly origins: OriginExchange;
  private readonly stateServer: StateServer;
  private readonly stateFollower: StateFollower;

  constructor(options: ForwarderOptions, kernel: Pick<Kernel, 'clock' | 'log'>) {
    super();
    this.options = options;
    this.clock = kernel.clock;
    this.log = kernel.log;
    const { dataCentre, regions, bounds, protocol, logOutput, isFirstStart } = options;
    const { clock, log } = kernel;
    const onSuspension = (): void => {
      this.state.streams.recordSuspension();
      options.onSuspension();
    };
    this.state = new RouterState({
      clock,
      log,
      protocol,
      dataCentre,
      regions,
      address: options.peersAddress,
      routersOf: (name) => this.peers.knownRouters(name),
      bounds,
      limits: options.limits,
      hedgeExtraWork: options.hedgeExtraWork,
      isFirstStart,
      logOutput,
    });
    this.state.streams.confirmations.onWanted(() => {
      options.onConfirmationWanted();
      this.stateFollower.confirm();
    });
    this.origins = new OriginExchange({
      address: options.peersAddress,
      clock,
      log,
      origins: this.state.streams,
      routers: () => this.peers.routerAddresses(),
      transmit: (target, message) => this.peers.transmit(target, message),
      awaitRead: () => this.peers.awaitRead(),
    });
    this.rotation = new Rotation(this.state);
    this.ingress = new CallIngress({
      address: options.callersAddress,
      state: this.state,
      rotation: this.rotation,
      resumptions: new ResumptionResolver({
        clock,
        log,
        origins: this.state.streams,
        exchange: this.origins,
      }),
      onSuspension,
    });
    const { listeners, connectionLimits } = this.state;
    this.readiness = new ReadinessServer({
      address: options.readinessAddress,
      guard: listeners.guard({ name: 'readiness', maxConnections: connectionLimits.others }),
      path: options.readinessPath,
      isReady: () => this.checkReadiness(),
    });
    this.peers = new PeerExchange({
      address: options.peersAddress,
      dataCentre,
      clock,
      log,
      table: this.state.peers,
      buildReport: (includesWorkspaces) => this.state.buildReport(includesWorkspaces),
      onReport: (report) => this.state.applyReport(report),
      onRejected: () => this.state.metrics.recordRejectedReport(),
      onShortened: (leftOut) => this.state.metrics.recordShortenedReport(leftOut),
      onBytes: (direction, bytes) => this.state.metrics.recordReportBytes(direction, bytes),
      acceptMessage: (message, sender) => this.acceptOriginMessage(message, sender),
    });
    this.stateServer = new StateServer({
      address: options.peersAddress,
      guard: listeners.guard({ name: 'peers', maxConnections: connectionLimits.peers }),
      state: this.state,
      explainer: new RouteExplainer({
        address: options.peersAddress,
        state: this.state,
        routers: () => this.peers.routerAddresses(),
      }),
      onSuspension,
    });
    this.stateFollower = new StateFollower({
      address: options.peersAddress,
      state: this.state,
      isFirstStart,
      localReports: () => this.peers.localReports(),
      peers: () => this.peers.peerAddresses(),
      onReaderChange: options.onReaderChange,
      onEndpointsReplaced: options.onEndpointsReplaced,
    });
  }

  setSeeds(seeds: readonly string[]): void {
    this.peers.setSeeds(seeds);
  }

  override async start(): Promise<void> {
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    this.state.eventLoop.start();
    this.state.link.start();
    this.state.listeners.open();
    await this.peers.open();
    await this.stateServer.open();
    this.stateFollower.open();
    this.origins.open();
    const { metricsAddress } = this.options;
    if (metricsAddress !== undefined) {
      const { metrics, listeners, connectionLimits } = this.state;
      const maxConnections = connectionLimits.others;
      await metrics.open(metricsAddress, listeners.guard({ name: 'metrics', maxConnections }));
    }
    await this.readiness.open();
    await this.ingress.open();
  }

  /**
   * Drains the router: reports not ready, refuses what the rest of the grace can't hold, stops listening once
   * the requests from before the cutoff have ended, and ends those still open when the grace is nearly over.
   */
  override async drain(): Promise<void> {
    this.state.stop.begin(this.options.graceMs);
    await new Promise<void>((resolve) => {
      const timer: Timer = this.clock.every(DRAIN_CHECK_PERIOD_MS, () => {
        if (!this.advanceDrain()) return;
        timer.stop();
        resolve();
      });
    });
  }

  override async stop(): Promise<void> {
    this.state.eventLoop.stop();
    this.state.link.stop();
    this.state.listeners.close();
    this.ingress.stopListening();
    this.readiness.close();
    this.state.metrics.close();
    this.origins.close();
    this.peers.close();
    this.stateServer.close();
    this.stateFollower.close();
    this.state.endpoints.destroy();
    return Promise.resolve();
  }

  /** Accepts a message about the origins of streams; false if it isn't one. */
  private acceptOriginMessage(message: Buffer, sender: string): boolean {
    if (!isOriginMessage(message)) return false;
    this.origins.receive(message, sender);
    return true;
  }

  /** Advances the drain; true when it is done. */
  private advanceDrain(): boolean {
    const { leftMs, isPastCutoff } = this.state.stop;
    if (!isPastCutoff && leftMs > 0) return false;
    this.ingress.refuseUnfitting();
    if (leftMs > 0 && this.ingress.openRequestsBeforeCutoff > 0) return false;
    this.ingress.stopListening();
    if (leftMs <= 0) this.ingress.endCalls();
    return this.ingress.openRequests === 0 || leftMs <= -LAST_ANSWERS_MS;
  }

  /** What a log line about readiness says of callers and peers. */
  private describeLoad(): Record<string, number> {
    const { listeners, peers } = this.state;
    const callers = listeners.guards.find(({ name }) => name === 'callers');
    return {
      callers: callers?.connectionCount ?? 0,
      usage_age_ms: Math.round(peers.usageAgeMs(this.clock.monotonic())),
    };
  }

  /** Whether the router accepts new connections; logs each change. */
  private checkReadiness(): boolean {
    const reason = this.rotation.obstacle;
    const isReady = reason === undefined;
    if (isReady !== this.wasReady) {
      const event = isReady ? 'router.ready' : 'router.not_ready';
      this.log.info({ event, reason, ...this.state.link.describe(), ...this.describeLoad() });
    }
    this.wasReady = isReady;
    return isReady;
  }
}
