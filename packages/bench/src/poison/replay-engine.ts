/** One incarnation of an engine in the poison replay, and the attempts that run there. */
import { EndpointLoad } from '@poplarpick/decisions';
import type { Endpoint } from '@poplarpick/decisions';
import type { WatchedAttempt, WatchedEndpoint } from '@poplarpick/forwarder';
import type { ReplayRequest } from './request-source.ts';
import type { ReplayRouter } from './replay-router.ts';

const SLOTS = 1_000;

/** An attempt of a request at an engine. */
export interface ReplayAttempt extends WatchedAttempt {
  router: ReplayRouter;
  engine: ReplayEngine;
  request: ReplayRequest;
  /** 1 for the first attempt. */
  number: number;
  firstEventAt: number | undefined;
  isEnded: boolean;
}

/** One incarnation of an engine. */
export class ReplayEngine {
  readonly incarnationHash: number;
  readonly endpoint: Endpoint;
  readonly attempts = new Set<ReplayAttempt>();
  isRunning = true;

  constructor(incarnationHash: number, startedAt: number) {
    this.incarnationHash = incarnationHash;
    this.endpoint = {
      id: `engine-${incarnationHash}`,
      startedAt,
      pool: 'pool',
      address: '10.200.0.1:9000',
      dataCentre: 'dc-0',
      slots: SLOTS,
      isDraining: false,
    };
  }

  /** Lets each attempt that is being answered receive bytes. */
  sendBytes(now: number): void {
    for (const { firstEventAt, placement } of this.attempts) {
      if (firstEventAt !== undefined) placement.record.load.recordBytes(now);
    }
  }

  /** Ends the engine; returns the attempts that it loses. */
  crash(): ReplayAttempt[] {
    this.isRunning = false;
    const lost = [...this.attempts];
    this.attempts.clear();
    return lost;
  }
}

/** Creates what a router knows of an engine. */
export function createRecord({ endpoint, incarnationHash }: ReplayEngine): WatchedEndpoint {
  return { endpoint, incarnationHash, load: new EndpointLoad() };
}
