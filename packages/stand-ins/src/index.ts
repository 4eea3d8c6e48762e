/** Small emulators (stand-ins) of the external systems, for the demo, the tests and the bench. */
export * from './application-engine.ts';
export * from './configuration-service.ts';
export * from './host-list.ts';
export * from './model-engine/model-engine.ts';
export * from './scripted-engine.ts';
export * from './stand-in.ts';
export * from './weight-store.ts';
export * from './site/site.ts';
export * from './site/site-plan.ts';
export * from './fault-proxy.ts';
export * from './free-port.ts';
export * from './platform/cache-list.ts';
export * from './platform/platform-engine.ts';
export * from './platform/platform-store.ts';
export * from './platform/raw-platform-engine.ts';
export * from './platform/scripted-platform-engine.ts';
