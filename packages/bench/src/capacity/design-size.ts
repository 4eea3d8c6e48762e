/** The size to design for, and the limits that hold at it. */

/** Design size. */
export const DESIGN = {
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
  /** Share of a core that a node may spend on control. */
  controlCpu: 0.036,
  controlMemoryBytes: 64 * 1024 * 1024,
  controlBytesPerSecond: 6 * 1024,
  changeMs: 4_000,
  serviceCallsPerSecond: 2_000,
  /** Largest value that the configuration service holds. */
  documentBytes: 1024 * 1024,
} as const;

export const SECONDS_PER_DAY = 86_400;
