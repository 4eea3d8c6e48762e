/**
 * Plug-in for membership. It connects the member table to the links, the failure detector and the link
 * planner. Routers also dial routers that they consider down, so that the two sides of a healed
 * network partition find each other again.
 */
import { MemberTable } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel, Timer } from '@poplarpick/kernel';
import { CallMethod, NotificationMethod } from '../messages.ts';
import {
  hostDirectoryKey,
  identityKey,
  linkHubKey,
  linkPlannerKey,
  membershipKey,
  statusBoardKey,
} from '../component-keys.ts';
import { listLiveRouters } from '../platform/host-directory.ts';
import { FailureDetector } from './failure-detector.ts';
import { Membership, MembershipMessageKind } from './membership.ts';

/** Period at which expired suspicions and tombstones are handled. */
const TICK_PERIOD_MS = 100;

/** Period at which the member table is compared with that of one peer. */
const COMPARE_PERIOD_MS = 10_000;

/** Period at which one of the routers considered down is dialled. */
const RECONNECT_PERIOD_MS = 2_000;

/** Time for which such a router is dialled. */
const RECONNECT_DURATION_MS = 1_500;

class MembershipPlugin extends Plugin {
  override readonly name = 'membership';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['links', 'status'];
  private readonly timers: Timer[] = [];
  private membership: Membership | undefined;
  private detector: FailureDetector | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const membership = this.createMembership(kernel);
    this.membership = membership;
    kernel.provide(membershipKey, membership);
    kernel.resolve(statusBoardKey).add('membership', () => membership.readStatus());
    if (kernel.role === Role.Router) this.startFailureDetection(kernel, membership);
    this.registerLinkHandlers(kernel, membership);
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.timers.forEach((timer) => timer.stop());
    this.detector?.stop();
    this.membership?.post({ kind: MembershipMessageKind.Leave });
    this.membership?.stop();
    return Promise.resolve();
  }

  private createMembership(kernel: Kernel): Membership {
    const { host, dataCentre, incarnation } = kernel.resolve(identityKey);
    const { role, clock, log } = kernel;
    const table = new MemberTable({ self: { host, role, dataCentre, incarnation } });
    const planner = kernel.resolve(linkPlannerKey);
    return new Membership({
      table,
      role,
      hub: kernel.resolve(linkHubKey),
      clock,
      log,
      metrics: kernel.metrics,
      onChange: (record) => {
        if (!this.membership?.isUsable(record.host)) this.detector?.stopTracking(record.host);
        if (record.role === Role.Router && role === Role.Router) planner.replan();
      },
    });
  }

  private startFailureDetection(kernel: Kernel, membership: Membership): void {
    const { clock, log } = kernel;
    const hub = kernel.resolve(linkHubKey);
    const planner = kernel.resolve(linkPlannerKey);
    planner.setUsabilityCheck((host) => membership.isUsable(host));
    this.detector = new FailureDetector({
      hub,
      planner,
      clock,
      log,
      onUnreachable: (host) => membership.post({ kind: MembershipMessageKind.Unreachable, host }),
    });
    this.timers.push(
      clock.every(TICK_PERIOD_MS, () => membership.post({ kind: MembershipMessageKind.Tick })),
      clock.every(COMPARE_PERIOD_MS, () =>
        membership.post({ kind: MembershipMessageKind.Compare }),
      ),
      clock.every(RECONNECT_PERIOD_MS, () => dialRandomDownRouter(kernel, membership)),
    );
  }

  private registerLinkHandlers(kernel: Kernel, membership: Membership): void {
    const hub = kernel.resolve(linkHubKey);
    hub.onLink((link) => {
      link.handleNotification(NotificationMethod.Members, ({ records }) =>
        membership.post({ kind: MembershipMessageKind.Records, records, link }),
      );
      link.handleCall(CallMethod.CompareMembers, ({ summary }) => ({
        records: membership.findDifferingRecords(summary),
      }));
      link.handleCall(CallMethod.Probe, async ({ host }) => ({
        reached: await this.answerProbe(kernel, host),
      }));
    });
    hub.onPeerJoined((peer) => membership.post({ kind: MembershipMessageKind.Join, peer }));
  }

  private async answerProbe(kernel: Kernel, host: string): Promise<boolean> {
    const peer = kernel.resolve(linkHubKey).findPeer(host);
    if (this.detector === undefined) return peer !== undefined;
    const role = this.membership?.find(host)?.role ?? Role.Router;
    return this.detector.checkReachable(host, role);
  }
}

/** Dials a random router that the host list reports as live but membership considers down. */
function dialRandomDownRouter(kernel: Kernel, membership: Membership): void {
  const down = new Set(membership.listDown());
  if (down.size === 0) return;
  const candidates = listLiveRouters(kernel.resolve(hostDirectoryKey).hosts).filter(({ id }) =>
    down.has(id),
  );
  const target = candidates[Math.floor(Math.random() * candidates.length)];
  if (target !== undefined)
    kernel.resolve(linkPlannerKey).dialTemporarily(target.id, RECONNECT_DURATION_MS);
}

registerPlugin(() => new MembershipPlugin());
