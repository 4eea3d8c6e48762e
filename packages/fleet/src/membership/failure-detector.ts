/**
 * Detects failed members with indirect probes, as in SWIM. When a link to a host stays lost, the process
 * asks other members whether they can reach the host, and suspects it only if none of them can. So a
 * broken network path between two hosts removes neither from the fleet.
 */
import { describeError, Role } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import type { LinkHub, Peer } from '../link/link-hub.ts';
import type { LinkPlanner } from '../link/link-planner.ts';
import { CallMethod } from '../messages.ts';

/** Time for a lost link to reconnect before other members are asked. */
const PROBE_DELAY_MS = 400;

/** Interval between two rounds of probes while the link stays lost. */
const PROBE_PERIOD_MS = 1_000;

/** Timeout of a probe by another member. */
const PROBE_TIMEOUT_MS = 1_200;

/** Number of members that are asked in one round. */
const PROBE_HELPER_COUNT = 3;

/** Time for which a helper tries to connect to a host that it has no link to. */
const DIAL_TIMEOUT_MS = 800;

/** Period at which lost hosts and dialled links are checked. */
const POLL_PERIOD_MS = 50;

/** Time without received data after which an open link no longer proves that its host is reachable. */
const MAX_LINK_IDLE_MS = 1_000;

/** Time between two ticks above which the process itself must have been paused. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Options of a `FailureDetector`. */
export interface FailureDetectorOptions {
  hub: LinkHub;
  planner: LinkPlanner;
  clock: Clock;
  log: Logger;
  /** Called when neither this process nor any member that it asked can reach a host. */
  onUnreachable: (host: string) => void;
}

interface LostHost {
  /** Monotonic time of the next round of probes. */
  askAt: number;
  /** Whether a round of probes is in progress. */
  asking: boolean;
}

/** Watches the links of one router and probes the hosts whose links are lost. */
export class FailureDetector {
  private readonly options: FailureDetectorOptions;
  private readonly lostHosts = new Map<string, LostHost>();
  private readonly timer: Timer;
  private lastTick: number;

  constructor(options: FailureDetectorOptions) {
    this.options = options;
    const { hub, clock } = options;
    this.lastTick = clock.monotonic();
    hub.onPeerLost((peer) => this.trackLostPeer(peer));
    hub.onPeerJoined((peer) => this.lostHosts.delete(peer.host));
    this.timer = clock.every(POLL_PERIOD_MS, () => this.tick());
  }

  stop(): void {
    this.timer.stop();
  }

  /** Stops probing a host whose failure or departure is known. */
  stopTracking(host: string): void {
    this.lostHosts.delete(host);
  }

  /** Whether this process can reach a host. Dials the host if it is a router without a live link. */
  async checkReachable(host: string, role: Role): Promise<boolean> {
    const { planner, clock } = this.options;
    if (this.isLinked(host)) return true;
    if (role !== Role.Router) return false;
    planner.dialTemporarily(host, DIAL_TIMEOUT_MS);
    const deadline = clock.monotonic() + DIAL_TIMEOUT_MS;
    while (clock.monotonic() < deadline) {
      await new Promise<void>((resolve) => void clock.after(POLL_PERIOD_MS, resolve));
      if (this.isLinked(host)) return true;
    }
    return false;
  }

  private isLinked(host: string): boolean {
    const peer = this.options.hub.findPeer(host);
    return peer !== undefined && peer.link.idleMs < MAX_LINK_IDLE_MS;
  }

  private trackLostPeer(peer: Peer): void {
    if (this.options.hub.findPeer(peer.host) !== undefined) return;
    const askAt = this.options.clock.monotonic() + PROBE_DELAY_MS;
    this.lostHosts.set(peer.host, { askAt, asking: false });
  }

  private tick(): void {
    const now = this.options.clock.monotonic();
    const wasPaused = now - this.lastTick > PAUSE_THRESHOLD_MS;
    this.lastTick = now;
    for (const [host, lost] of this.lostHosts) {
      // A process that was paused sees its own links time out, so they get time to reconnect.
      if (wasPaused) lost.askAt = now + PROBE_PERIOD_MS;
      if (lost.asking || now < lost.askAt) continue;
      lost.asking = true;
      void this.probeFromPeers(host, lost);
    }
  }

  private async probeFromPeers(host: string, lost: LostHost): Promise<void> {
    const helpers = this.pickHelpers(host);
    const timeout = new Promise<boolean>(
      (resolve) => void this.options.clock.after(PROBE_TIMEOUT_MS, () => resolve(false)),
    );
    const answers = await Promise.all(
      helpers.map((helper) => Promise.race([probe(helper, host), timeout])),
    );
    lost.asking = false;
    lost.askAt = this.options.clock.monotonic() + PROBE_PERIOD_MS;
    if (this.lostHosts.get(host) !== lost) return;
    const reached = answers.includes(true);
    this.options.log.info({
      event: 'membership.probed',
      peer: host,
      asked: answers.length,
      reached,
    });
    if (!reached) this.options.onUnreachable(host);
  }

  private pickHelpers(host: string): Peer[] {
    const others = this.options.hub.peers().filter((peer) => peer.host !== host);
    const helpers: Peer[] = [];
    while (helpers.length < PROBE_HELPER_COUNT && others.length > 0) {
      helpers.push(...others.splice(Math.floor(Math.random() * others.length), 1));
    }
    return helpers;
  }
}

/** Asks a member whether it can reach a host. A failed call returns the error, which is not `true`. */
async function probe(helper: Peer, host: string): Promise<boolean | string> {
  try {
    const { reached } = await helper.link.call(CallMethod.Probe, { host });
    return reached;
  } catch (error) {
    return describeError(error);
  }
}
