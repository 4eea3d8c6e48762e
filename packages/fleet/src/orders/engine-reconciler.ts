/**
 * Brings the engine beside the sidecar to the state that the preset in force wants: reads the state,
 * gives the next order, and reads again. Reading back is also what corrects an engine that took an
 * order from someone else, or a late one of a process that was replaced.
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

/** Time between two looks at the engine's state. */
const RECONCILE_PERIOD_MS = 500;

/** Time by which a load may miss the beginning of its slot. */
const MAX_SLOT_DEVIATION_MS = 100;

/** Time for which a sidecar gives no orders once another has given some. */
const STAND_DOWN_MS = 30_000;

/** Options of an `EngineReconciler`. */
export interface EngineReconcilerOptions {
  endpoint: string;
  /** Whether the engine may be reached by this host alone. */
  isLocal: boolean;
  client: EngineControlClient;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** The configuration in force, if it is confirmed to be the latest. */
  readConfiguration: () => FleetConfiguration | undefined;
}

/** What operators see of the orders. */
export interface OrderStatus {
  /** Whether the engine shows what the preset wants; absent where the preset wants nothing. */
  settled?: boolean;
  state?: EngineState;
  lastOrder?: PlannedOrder & { outcome: string };
}

/** Gives orders to one engine. */
export class EngineReconciler {
  private readonly options: EngineReconcilerOptions;
  private readonly timer: Timer;
  private loadTimer: Timer | undefined;
  private isReconciling = false;
  private lastFencingToken = '';
  private standDownUntil = -Infinity;
  private settledDesiredState = '';
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

  /** Reads the state and gives the next order; a load only where `mayLoad`. */
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
    // The reads above take time in which a pause may have outlasted the confirmation.
    if (this.options.readConfiguration() === undefined) return;
    this.lastFencingToken = nextFencingToken(clock.now(), state.fencing, this.lastFencingToken);
    const outcome = await client.sendOrder(order, this.lastFencingToken);
    const fields = { endpoint, ...order, fencing: this.lastFencingToken, outcome };
    log.info({ event: 'orders.given', ...fields });
    metrics.increment(Metric.Orders, 1, { endpoint, action: order.action, outcome });
    this.status = { ...this.status, lastOrder: { ...order, outcome } };
    if (outcome === OrderOutcome.Stale) this.standDown();
  }

  /** An engine that has seen a higher number than ours takes its orders from another sidecar. */
  private detectOtherSender(state: EngineState): void {
    if (this.lastFencingToken !== '' && state.fencing > this.lastFencingToken) this.standDown();
  }

  private standDown(): void {
    const { clock, log, endpoint } = this.options;
    this.lastFencingToken = '';
    this.standDownUntil = clock.monotonic() + STAND_DOWN_MS;
    log.warn({ event: 'orders.stood_down', endpoint, for_ms: STAND_DOWN_MS });
  }

  private recordState(
    desired: DesiredEngineState,
    state: EngineState,
    order: PlannedOrder | undefined,
  ): void {
    const desiredJson = JSON.stringify(desired);
    const settled = order === undefined && !state.loading;
    this.status = { ...this.status, state, settled };
    if (settled) {
      this.settledDesiredState = desiredJson;
      return;
    }
    if (order === undefined || this.settledDesiredState !== desiredJson) return;
    this.settledDesiredState = '';
    const subject = this.options.endpoint;
    reportRepair(this.options, {
      kind: RepairKind.OrderCorrected,
      cause: 'changed by another',
      subject,
    });
  }

  /** Plans a look for the beginning of the endpoint's next load slot. */
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

  /** An engine that takes orders from anyone must be out of reach for others. */
  private isProtected(configuration: FleetConfiguration): boolean {
    const { endpoint, isLocal, log } = this.options;
    const endpointSettings = configuration.endpoints.find((entry) => entry.name === endpoint);
    const allowed = endpointSettings?.checks_sender === true || isLocal;
    if (!allowed && !this.hasWarned) log.error({ event: 'orders.unguarded', endpoint });
    this.hasWarned = !allowed;
    return allowed;
  }
}

/** How the load slots of the fleet follow from its configuration. */
export function createLoadSlotOptions(configuration: FleetConfiguration): LoadSlotOptions {
  const endpoints = configuration.endpoints
    .map((entry) => entry.name)
    .filter((name) => findDesiredEngineState(configuration, name) !== undefined);
  const { reads_per_second, clock_skew_ms } = configuration.weight_store;
  return { readsPerSecond: reads_per_second, clockSkewMs: clock_skew_ms, endpoints };
}
