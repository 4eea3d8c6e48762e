/** Fleet size that the system is designed for, and resource limits at that size. */

/** Design size. Rates are totals over the fleet. */
export const DESIGN_SIZE = {
  routers: 940,
  sidecars: 3_300,
  requestsPerSecond: 20_000,
  tokensPerSecond: 8_100_000,
  workspaces: 2_800,
  backloggedWorkspaces: 280,
  dataCentres: 7,
  changesPerDay: 6_700,
} as const;

/** Limits at the design size. */
export const LIMITS = {
  /** Share of one core that a node may use for control. */
  controlCpu: 0.036,
  controlMemoryBytes: 64 * 1024 * 1024,
  controlBytesPerSecond: 6 * 1024,
  changeMs: 4_000,
  serviceCallsPerSecond: 2_000,
  /** Largest value that the configuration service stores. */
  documentBytes: 1024 * 1024,
} as const;

export const SECONDS_PER_DAY = 86_400;
