/**
 * Reconciles the engine of the sidecar with the state that the preset in force desires: it reads the
 * state, sends the next order, and repeats. Reading the state back also corrects an engine that followed
 * an order from another sender, or a delayed order of a process that has been replaced.
 */
import {
  findDesiredEngineState,
  isWeightLoad,
  nextFencingToken,
  nextLoadSlot,
  planNextOrder,
} from '@poplarpick/decisions';
import type {
  DesiredEngineState,
  EngineState,
  FleetConfiguration,
  LoadSlotOptions,
  PlannedOrder,
} from '@poplarpick/decisions';
import { describeError, Metric, RepairKind, reportRepair } from '@poplarpick/kernel';
import type { Clock, Logger, Metrics, Timer } from '@poplarpick/kernel';
import { OrderOutcome } from './engine-control-client.ts';
import type { EngineControlClient } from './engine-control-client.ts';

/** Period at which the engine's state is read. */
const RECONCILE_PERIOD_MS = 500;

/** Maximum difference between the start of a load and that of its slot; else the load waits again. */
const MAX_SLOT_DEVIATION_MS = 100;

/** Time for which a sidecar sends no orders after it has detected that another one does. */
const STAND_DOWN_MS = 30_000;

/** Options of an `EngineReconciler`. */
export interface EngineReconcilerOptions {
  endpoint: string;
  /** Whether the engine's address is loopback or link-local, so that other hosts cannot send it orders. */
  isLocal: boolean;
  client: EngineControlClient;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Returns the configuration in force if it is confirmed to be the latest. */
  readConfiguration: () => FleetConfiguration | undefined;
}

/** Status of the orders for operators. */
export interface OrderStatus {
  /** Whether the engine has the desired state; absent if the preset desires none. */
  settled?: boolean;
  state?: EngineState;
  lastOrder?: PlannedOrder & { outcome: string };
}

/** Reconciles one engine by sending it orders. */
export class EngineReconciler {
  private readonly options: EngineReconcilerOptions;
  private readonly timer: Timer;
  private loadTimer: Timer | undefined;
  private isReconciling = false;
  private lastFencingToken = '';
  private standDownUntil = -Infinity;
  /** JSON of the desired state that the engine last had; empty if the engine has been changed since. */
  private settledDesiredJson = '';
  private hasWarned = false;
  private status: OrderStatus = {};

  constructor(options: EngineReconcilerOptions) {
    this.options = options;
    this.timer = options.clock.every(RECONCILE_PERIOD_MS, () => void this.reconcile(false));
  }

  readStatus(): OrderStatus {
    return this.status;
  }

  async stop(): Promise<void> {
    this.timer.stop();
    this.loadTimer?.stop();
    await this.options.client.close();
  }

  /** Reads the state and sends the next order; a load only if `mayLoad`, otherwise it is scheduled. */
  private async reconcile(mayLoad: boolean): Promise<void> {
    const configuration = this.options.readConfiguration();
    if (this.isReconciling || configuration === undefined) return;
    const desired = findDesiredEngineState(configuration, this.options.endpoint);
    if (desired === undefined || !this.isProtected(configuration)) return;
    this.isReconciling = true;
    try {
      await this.orderNextStep(configuration, desired, mayLoad);
    } catch (error) {
      this.options.log.warn({ event: 'orders.failed', error: describeError(error) });
    } finally {
      this.isReconciling = false;
    }
  }

  private async orderNextStep(
    configuration: FleetConfiguration,
    desired: DesiredEngineState,
    mayLoad: boolean,
  ): Promise<void> {
    const state = await this.options.client.readState();
    this.detectOtherSender(state);
    const order = planNextOrder(desired, state);
    this.recordState(desired, state, order);
    if (order === undefined || this.options.clock.monotonic() < this.standDownUntil) return;
    if (isWeightLoad(order) && !mayLoad) {
      this.scheduleLoad(configuration);
      return;
    }
    await this.sendOrder(order, state);
  }

  private async sendOrder(order: PlannedOrder, state: EngineState): Promise<void> {
    const { client, clock, log, metrics, endpoint } = this.options;
    // The confirmation may have expired since, as reading the state takes time or the process was paused.
    if (this.options.readConfiguration() === undefined) return;
    this.lastFencingToken = nextFencingToken(clock.now(), state.fencing, this.lastFencingToken);
    const outcome = await client.sendOrder(order, this.lastFencingToken);
    const fields = { endpoint, ...order, fencing: this.lastFencingToken, outcome };
    log.info({ event: 'orders.given', ...fields });
    metrics.increment(Metric.Orders, 1, { endpoint, action: order.action, outcome });
    this.status = { ...this.status, lastOrder: { ...order, outcome } };
    if (outcome === OrderOutcome.Stale) this.standDown();
  }

  /** Stands down if the engine has seen a higher fencing token, which another sidecar must have sent. */
  private detectOtherSender(state: EngineState): void {
    if (this.lastFencingToken !== '' && state.fencing > this.lastFencingToken) this.standDown();
  }

  private standDown(): void {
    const { clock, log, endpoint } = this.options;
    this.lastFencingToken = '';
    this.standDownUntil = clock.monotonic() + STAND_DOWN_MS;
    log.warn({ event: 'orders.stood_down', endpoint, for_ms: STAND_DOWN_MS });
  }

  /** Updates the status, and reports a repair if the engine has left a desired state that it had. */
  private recordState(
    desired: DesiredEngineState,
    state: EngineState,
    order: PlannedOrder | undefined,
  ): void {
    const desiredJson = JSON.stringify(desired);
    const settled = order === undefined && !state.loading;
    this.status = { ...this.status, state, settled };
    if (settled) {
      this.settledDesiredJson = desiredJson;
      return;
    }
    if (order === undefined || this.settledDesiredJson !== desiredJson) return;
    this.settledDesiredJson = '';
    const subject = this.options.endpoint;
    reportRepair(this.options, {
      kind: RepairKind.OrderCorrected,
      cause: 'changed by another',
      subject,
    });
  }

  /** Schedules the load for the start of the endpoint's next load slot. */
  private scheduleLoad(configuration: FleetConfiguration): void {
    if (this.loadTimer !== undefined) return;
    const { clock, endpoint, log } = this.options;
    const slot = nextLoadSlot(createLoadSlotOptions(configuration), endpoint, clock.now());
    const waitMs = slot.startsAt - clock.now();
    log.info({ event: 'orders.load_waits', endpoint, wait_ms: Math.round(waitMs) });
    this.loadTimer = clock.after(waitMs, () => {
      this.loadTimer = undefined;
      if (Math.abs(clock.now() - slot.startsAt) <= MAX_SLOT_DEVIATION_MS) void this.reconcile(true);
    });
  }

  /**
   * Whether the engine is protected from orders of other senders: it authenticates the sender, or only
   * this host can reach it. An unprotected engine is sent no orders.
   */
  private isProtected(configuration: FleetConfiguration): boolean {
    const { endpoint, isLocal, log } = this.options;
    const endpointSettings = configuration.endpoints.find((entry) => entry.name === endpoint);
    const isOrderingSafe = endpointSettings?.checks_sender === true || isLocal;
    if (!isOrderingSafe && !this.hasWarned) log.error({ event: 'orders.unguarded', endpoint });
    this.hasWarned = !isOrderingSafe;
    return isOrderingSafe;
  }
}

/** Derives the load slots of the fleet from its configuration. */
export function createLoadSlotOptions(configuration: FleetConfiguration): LoadSlotOptions {
  const endpoints = configuration.endpoints
    .map((entry) => entry.name)
    .filter((name) => findDesiredEngineState(configuration, name) !== undefined);
  const { reads_per_second, clock_skew_ms } = configuration.weight_store;
  return { readsPerSecond: reads_per_second, clockSkewMs: clock_skew_ms, endpoints };
}
