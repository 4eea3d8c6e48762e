/** The callers' side: clients that check answers, and measures of what callers received. */
export * from './application-caller.ts';
export * from './chat-caller.ts';
export * from './fairness-gap.ts';
export * from './random.ts';
export * from './statistics.ts';
export * from './open-loop.ts';
