/** Fleets of real processes for tests and benchmarks. */
export * from './process-fleet/fleet-process.ts';
export * from './process-fleet/process-fleet.ts';
