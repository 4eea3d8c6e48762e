/** The kernel: plug-in registry, tasks, clock, logs, metrics and error types shared by all roles. */
export * from './bounded-output.ts';
export * from './clock.ts';
export * from './kernel.ts';
export * from './log.ts';
export * from './metrics.ts';
export * from './repair.ts';
export * from './request-error.ts';
export * from './task.ts';
