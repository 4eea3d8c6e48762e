/** Load generation: clients that check answers, and measurements of what callers received. */
export * from './application-caller.ts';
export * from './chat-caller.ts';
export * from './fairness-gap.ts';
export * from './random.ts';
export * from './statistics.ts';
export * from './open-loop.ts';
export * from './scenario/load-run.ts';
export * from './scenario/request-plan.ts';
export * from './scenario/scenario.ts';
