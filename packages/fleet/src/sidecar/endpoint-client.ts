/** Interface between a sidecar and the client of its endpoint. */
import type { RequestError } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';

/** Receives the output of a run: frames, then exactly one call of `onEnd` or `onFailure`. */
export interface RunListener {
  /** `cost` is the amount that this frame adds to the cost of the request. */
  onFrame(data: Buffer, cost: number): void;
  /** `cost` is the amount that the end adds to the cost of the request. */
  onEnd(cost: number): void;
  onFailure(error: RequestError): void;
}

/** A job that the endpoint executes. */
export interface Run {
  /**
   * Stops the run at the endpoint as soon as possible; the listener is not called any more. Resolves
   * to whether the endpoint has confirmed the stop; never rejects.
   */
  cancel(): Promise<boolean>;
  /**
   * Suspends the run so that it uses no power at the endpoint. Resolves to whether the endpoint has
   * suspended it; never rejects. A run that ends in the meantime reports its end as usual. Absent if
   * the endpoint cannot suspend runs.
   */
  suspend?(): Promise<boolean>;
  /** Continues a suspended run from where it stopped. */
  resume?(): void;
}

/** Runs jobs at one endpoint. */
export abstract class EndpointClient {
  abstract run(requestId: string, job: Job, listener: RunListener): Run;
  abstract close(): Promise<void>;
}
