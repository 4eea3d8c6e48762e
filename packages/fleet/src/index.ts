/** Public API of the package: the processes of the fleet, their messages and shared components. */
export * from './address.ts';
export { hashKey } from './callers/authentication.ts';
export { createGateway, listenGateway, sendJson } from './http-gateway.ts';
export type { BoundServer, GatewayHandler, GatewayRequest } from './http-gateway.ts';
export * from './messages.ts';
export * from './component-keys.ts';
export { HostState } from './platform/host-list-client.ts';
export type { Host } from './platform/host-list-client.ts';
export * from './process.ts';
export { HISTOGRAM_UNITS_PER_MS } from './burn/service-level-meter.ts';
export type { ServiceLevels, WindowCounts, WorkspaceLevels } from './burn/service-level-meter.ts';
export type { PeerEntry } from './operators/peer-directory.ts';
