/** Pure decisions of the fleet: no I/O, no clock of their own; the time is passed in. */
export * from './configuration/fleet-configuration.ts';
export * from './configuration/settings.ts';
export * from './configuration/toml.ts';
export * from './fair-share/fair-share.ts';
export * from './fair-share/service-ledger.ts';
export * from './membership/overlay.ts';
export * from './rendezvous/rendezvous.ts';
export * from './request/request-queues.ts';
export * from './power/slot-budget.ts';
export * from './request/lost-attempt.ts';
export * from './request/request-life.ts';
export * from './explain/trace-book.ts';
export * from './burn/burn-rate.ts';
export * from './burn/count-ring.ts';
export * from './burn/service-objectives.ts';
