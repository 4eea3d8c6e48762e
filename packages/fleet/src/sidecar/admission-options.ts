/** What the admission control of one endpoint is made of. */
import type { Clock, Logger, Metrics } from '@poplarpick/kernel';
import type { EndpointClient } from './endpoint-client.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Options of an `Admission`. */
export interface AdmissionOptions {
  endpoint: string;
  host: string;
  client: EndpointClient;
  meter: ServiceMeter;
  /**
   * Whether the fleet's totals are fresh enough to choose a workspace. If not, requests them;
   * `TotalsReady` is posted once the choice can be retried.
   */
  ensureFreshTotals: () => boolean;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}
