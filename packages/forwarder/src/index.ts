/** A router that forwards calls straight to endpoints, with what an adapter needs to run it. */
export * from './calls/call-protocol.ts';
export * from './forwarder.ts';
export { ControlCall } from './router-metrics.ts';
export * from './router-state.ts';
export * from './calls/call-latency-recorder.ts';
export * from './calls/call-placer.ts';
