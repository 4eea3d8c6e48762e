/** What a router is made of: the limits of its site and of its host, and its place among the others. */
import type { Clock, Logger, LogOutput } from '@poplarpick/kernel';
import type { CallProtocol } from './calls/call-protocol.ts';
import type { PoolStatesOptions } from './pool-states.ts';
import type { ProcessLimits } from './process-limits.ts';

/** Limits from the site's settings. */
export interface RouterBounds extends PoolStatesOptions {
  /** Time within which a revoked API key must stop working, in ms. */
  revocationMs: number;
  /** Length of the sliding window of the fair shares, in ms. */
  shareWindowMs: number;
}

/** Options of a `RouterState`. */
export interface RouterStateOptions {
  clock: Clock;
  log: Logger;
  protocol: CallProtocol;
  dataCentre: string;
  bounds: RouterBounds;
  /** Limits of the host; those of a small host by default. */
  limits?: ProcessLimits | undefined;
  /** Region of each data centre; empty by default. */
  regions?: ReadonlyMap<string, string> | undefined;
  /** `IP:port` by which the other routers know this one. */
  address?: string;
  /** Addresses of the known routers of a data centre, this one included; all if it is undefined. */
  routersOf?: (dataCentre?: string) => readonly string[];
  /** Extra work that hedges may cause, as a fraction of the work of first attempts; 0 by default, which is off. */
  hedgeExtraWork?: number | undefined;
  /** The whole system starts for the first time; by default it has run before. */
  isFirstStart?: boolean;
  /** Output that `log` writes to. */
  logOutput?: LogOutput | undefined;
  /** Returns a number in [0, 1) that spreads the retry times of callers; `Math.random` by default. */
  random?: () => number;
}
