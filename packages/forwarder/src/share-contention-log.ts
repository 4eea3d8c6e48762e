/**
 * Logs, at most once a second while calls with a prompt are refused, what workspaces demand and are granted: who is
 * served least of what it demands, who is granted most, and how old the sums are. With the lines of the calls it tells
 * a workspace that is refused for its share from one that finds no room, and from one whose calls aren't read.
 */
import { sumServices } from '@poplarpick/decisions';
import type { WorkspaceService } from '@poplarpick/decisions';
import type { Logger } from '@poplarpick/kernel';

/** Shortest time between two lines, in ms. */
const LOG_PERIOD_MS = 1_000;

/** What a line tells beside the workspaces. */
export interface ContentionState {
  /** Tokens that the endpoints are expected to produce within the window. */
  nominalTokens: number;
  /** Age of the oldest usage of another router that counts, in ms. */
  usageAgeMs: number;
  /** Part of the model endpoints that is in use. */
  usedFraction: number;
  /** Fraction of time in which the event loop has work. */
  loopUtilization: number;
}

/** Options of a `ShareContentionLog`. */
export interface ShareContentionLogOptions {
  log: Logger;
  listServices: () => WorkspaceService[];
  readState: () => ContentionState;
}

/** Writes the lines. */
export class ShareContentionLog {
  private readonly options: ShareContentionLogOptions;
  private loggedAt = Number.NEGATIVE_INFINITY;
  private refused = 0;

  constructor(options: ShareContentionLogOptions) {
    this.options = options;
  }

  /** Counts a refusal, and writes a line if the last one is long enough ago. */
  recordRefusal(now: number): void {
    this.refused += 1;
    if (now - this.loggedAt < LOG_PERIOD_MS) return;
    this.loggedAt = now;
    this.write();
    this.refused = 0;
  }

  private write(): void {
    const { log, listServices, readState } = this.options;
    const services = listServices();
    const least = minBy(services, (service) => service.granted / Math.max(1, service.demanded));
    const most = minBy(services, (service) => -service.granted);
    const { demanded, granted } = sumServices(services);
    const { nominalTokens, usageAgeMs, usedFraction, loopUtilization } = readState();
    log.info({
      event: 'shares.contended',
      refused: this.refused,
      demanded: Math.round(demanded),
      granted: Math.round(granted),
      nominal: Math.round(nominalTokens),
      least: least?.workspace,
      least_demanded: least && Math.round(least.demanded),
      least_granted: least && Math.round(least.granted),
      most: most?.workspace,
      most_granted: most && Math.round(most.granted),
      usage_age_ms: Math.round(usageAgeMs),
      endpoints_used: Number(usedFraction.toFixed(2)),
      loop_used: Number(loopUtilization.toFixed(2)),
    });
  }
}

function minBy<Item>(items: readonly Item[], keyOf: (item: Item) => number): Item | undefined {
  let best: Item | undefined;
  for (const item of items) if (best === undefined || keyOf(item) < keyOf(best)) best = item;
  return best;
}
