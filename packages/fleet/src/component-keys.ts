/** Keys of the components that the plug-ins of a process share through the kernel. */
import { createComponentKey } from '@poplarpick/kernel';
import type { RouterSettings, SidecarSettings, TraceStore } from '@poplarpick/decisions';
import type { Admission } from './sidecar/admission.ts';
import type { OpenExchanges } from './callers/open-exchanges.ts';
import type { ConfigurationTask } from './configuration/configuration-task.ts';
import type { RequestRecorder } from './burn/request-recorder.ts';
import type { Dispatcher } from './router/dispatcher.ts';
import type { HostDirectory } from './platform/host-directory.ts';
import type { LinkHub } from './link/link-hub.ts';
import type { LinkTraffic } from './link/link.ts';
import type { ProcessListeners } from './listening/process-listeners.ts';
import type { PlannedStops } from './planned-stop/planned-stops.ts';
import type { Transport } from './trust/transport.ts';
import type { LinkPlanner } from './link/link-planner.ts';
import type { Membership } from './membership/membership.ts';
import type { StatusBoard } from './operators/status-board.ts';

/** Identity of a running process. */
export interface ProcessIdentity {
  fleet: string;
  host: string;
  dataCentre: string;
  /** UUIDv7 generated when the process starts, which distinguishes it from its predecessors. */
  incarnation: string;
}

export const identityKey = createComponentKey<ProcessIdentity>('identity');
export const routerSettingsKey = createComponentKey<RouterSettings>('router settings');
export const sidecarSettingsKey = createComponentKey<SidecarSettings>('sidecar settings');
export const listenersKey = createComponentKey<ProcessListeners>('listeners');
export const linkTrafficKey = createComponentKey<LinkTraffic>('link traffic');
export const statusBoardKey = createComponentKey<StatusBoard>('status board');
export const configurationKey = createComponentKey<ConfigurationTask>('configuration');
export const hostDirectoryKey = createComponentKey<HostDirectory>('host directory');
export const transportKey = createComponentKey<Transport>('transport');
export const linkHubKey = createComponentKey<LinkHub>('link hub');
export const plannedStopsKey = createComponentKey<PlannedStops>('planned stops');
export const linkPlannerKey = createComponentKey<LinkPlanner>('link planner');
export const membershipKey = createComponentKey<Membership>('membership');
export const openExchangesKey = createComponentKey<OpenExchanges>('open exchanges');
export const dispatcherKey = createComponentKey<Dispatcher>('dispatcher');
export const admissionKey = createComponentKey<Admission>('admission');
export const traceStoreKey = createComponentKey<TraceStore>('trace store');
export const requestRecorderKey = createComponentKey<RequestRecorder>('request recorder');
