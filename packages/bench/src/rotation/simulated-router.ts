/** A router in simulated time whose event loop takes a fixed time for each call, one after the other. */
import { OverloadDetector } from '@poplarpick/decisions';
import type { BalancedRouter } from './load-balancer.ts';

/** Time of the event loop that a call takes from its head to the end of its answer, in ms. */
const CALL_COST_MS = 25;

/** The same for a call whose caller has left before it is read. */
const DROP_COST_MS = 5;

/** Period of the samples of the utilization, in ms. */
const SAMPLE_PERIOD_MS = 50;

/** A call that waits to be read. */
export interface WaitingCall {
  arrivedAt: number;
  /** Whether its caller still waits. */
  isWanted: () => boolean;
  /** Called when the router has read the call; `closesConnection` tells the caller to connect anew. */
  onRead: (now: number, closesConnection: boolean) => void;
}

/** One router. */
export class SimulatedRouter implements BalancedRouter {
  readonly dataCentre: string;
  private readonly detector = new OverloadDetector();
  private readonly waiting: WaitingCall[] = [];
  /** Time until which the event loop is busy with calls that it has read, in ms. */
  private busyUntil = 0;
  private busyMs = 0;
  private sampledAt = 0;

  constructor(dataCentre: string) {
    this.dataCentre = dataCentre;
  }

  isReady(): boolean {
    return !this.detector.isOverloaded;
  }

  receive(call: WaitingCall): void {
    this.waiting.push(call);
  }

  /** Lets the event loop run until `now`. */
  advance(now: number): void {
    this.readUntil(now);
    if (now - this.sampledAt < SAMPLE_PERIOD_MS) return;
    const overrunMs = Math.max(0, this.busyUntil - now);
    this.detector.record((this.busyMs - overrunMs) / (now - this.sampledAt), now);
    this.busyMs = overrunMs;
    this.sampledAt = now;
  }

  private readUntil(now: number): void {
    let next = this.waiting[0];
    while (next !== undefined && this.busyUntil < now) {
      this.waiting.shift();
      this.read(next, Math.max(this.busyUntil, next.arrivedAt), now);
      next = this.waiting[0];
    }
  }

  private read(call: WaitingCall, at: number, now: number): void {
    const isWanted = call.isWanted();
    const costMs = isWanted ? CALL_COST_MS : DROP_COST_MS;
    this.busyUntil = at + costMs;
    this.busyMs += costMs;
    if (isWanted) call.onRead(at, this.detector.shouldMoveCallers(now));
  }
}
