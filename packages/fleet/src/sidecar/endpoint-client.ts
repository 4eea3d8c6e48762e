/** How a sidecar talks to its endpoint. */
import type { RequestError } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';

/** Receives what a run produces: frames, then exactly one of `onEnd` and `onFailure`. */
export interface RunListener {
  /** `cost` is what this part adds to the cost of the request. */
  onFrame(data: Buffer, cost: number): void;
  /** `cost` is what the end adds to the cost. */
  onEnd(cost: number): void;
  onFailure(error: RequestError): void;
}

/** A run at the endpoint. */
export interface Run {
  /**
   * Ends the run at the endpoint as soon as possible; nothing is reported any more. Resolves to
   * whether the endpoint has confirmed that it stopped; never rejects.
   */
  cancel(): Promise<boolean>;
  /**
   * Halts the run so that the endpoint spends no power on it. Resolves to whether it has; never
   * rejects. A run that ends meanwhile reports its end as usual. Absent where the endpoint cannot.
   */
  suspend?(): Promise<boolean>;
  /** Goes on with a suspended run from where it was. */
  resume?(): void;
}

/** Runs jobs at one endpoint. */
export abstract class EndpointClient {
  abstract run(requestId: string, job: Job, listener: RunListener): Run;
  abstract close(): Promise<void>;
}
