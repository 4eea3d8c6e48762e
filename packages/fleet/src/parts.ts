/** Parts of a process that its plug-ins share through the kernel. */
import { createPartKey } from '@poplarpick/kernel';
import type { RouterSettings, SidecarSettings, TraceStore } from '@poplarpick/decisions';
import type { Admission } from './sidecar/admission.ts';
import type { ConfigurationTask } from './configuration/configuration-task.ts';
import type { RequestRecorder } from './burn/request-recorder.ts';
import type { Dispatcher } from './router/dispatcher.ts';
import type { HostDirectory } from './platform/host-directory.ts';
import type { LinkHub } from './link/link-hub.ts';
import type { LinkTraffic } from './link/link.ts';
import type { PlannedStops } from './planned-stop/planned-stops.ts';
import type { Transport } from './trust/transport.ts';
import type { LinkPlan } from './link/link-plan.ts';
import type { Membership } from './membership/membership.ts';
import type { StatusBoard } from './operators/status-board.ts';

/** Identity of a running process. */
export interface ProcessIdentity {
  fleet: string;
  host: string;
  dataCentre: string;
  /** UUIDv7 made at the start. */
  incarnation: string;
}

export const identityKey = createPartKey<ProcessIdentity>('identity');
export const routerSettingsKey = createPartKey<RouterSettings>('router settings');
export const sidecarSettingsKey = createPartKey<SidecarSettings>('sidecar settings');
export const trafficKey = createPartKey<LinkTraffic>('link traffic');
export const statusBoardKey = createPartKey<StatusBoard>('status board');
export const configurationKey = createPartKey<ConfigurationTask>('configuration');
export const hostDirectoryKey = createPartKey<HostDirectory>('host directory');
export const transportKey = createPartKey<Transport>('transport');
export const linkHubKey = createPartKey<LinkHub>('link hub');
export const plannedStopsKey = createPartKey<PlannedStops>('planned stops');
export const linkPlanKey = createPartKey<LinkPlan>('link plan');
export const membershipKey = createPartKey<Membership>('membership');
export const dispatcherKey = createPartKey<Dispatcher>('dispatcher');
export const admissionKey = createPartKey<Admission>('admission');
export const traceBookKey = createPartKey<TraceStore>('trace book');
export const requestRecorderKey = createPartKey<RequestRecorder>('request recorder');
