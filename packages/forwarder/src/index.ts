/** A router that forwards calls directly to endpoints, and the interfaces that an adapter implements. */
export * from './calls/call-protocol.ts';
export * from './forwarder.ts';
export { ControlCall } from './router-metrics.ts';
export * from './router-options.ts';
export * from './router-state.ts';
export * from './process-limits.ts';
export * from './shared-segments.ts';
export * from './calls/call-latency-recorder.ts';
export * from './calls/call-placer.ts';
export * from './calls/endpoint-evaluator.ts';
export * from './explain/route-explainer.ts';
export * from './peers/peer-table.ts';
export * from './peers/report-exchange.ts';
export * from './poison/attempt-evidence.ts';
export * from './poison/poison-guard.ts';
