/**
 * Finds lost members: when a link to a host stays lost, the process asks others whether they reach it,
 * and begins a suspicion only when none does. So one bad path between two hosts removes neither.
 */
import { describeError, Role } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import type { LinkHub, Peer } from '../link/link-hub.ts';
import type { LinkPlanner } from '../link/link-planner.ts';
import { CallMethod } from '../messages.ts';

/** Time that a lost link has to come back before others are asked. */
const PROBE_DELAY_MS = 400;

/** Time between two rounds of asking while the link stays lost. */
const PROBE_PERIOD_MS = 1_000;

/** Time that a helper has to answer. */
const PROBE_TIMEOUT_MS = 1_200;

/** Members that are asked in one round. */
const PROBE_HELPER_COUNT = 3;

/** Time that a helper takes to reach a host that it is not linked to. */
const DIAL_TIMEOUT_MS = 800;

/** Period of the look at whether the host has been reached. */
const POLL_PERIOD_MS = 50;

/** Time for which a link counts as working after something has arrived on it. */
const MAX_LINK_IDLE_MS = 1_000;

/** A tick this late means that the process itself has been paused. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Options of a `FailureDetector`. */
export interface FailureDetectorOptions {
  hub: LinkHub;
  planner: LinkPlanner;
  clock: Clock;
  log: Logger;
  /** Called when neither this process nor those it asked reach a host. */
  onUnreachable: (host: string) => void;
}

interface LostHost {
  askAt: number;
  asking: boolean;
}

/** Watches the links of one router. */
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

  /** Watches a host no longer, since its loss is known. */
  stopTracking(host: string): void {
    this.lostHosts.delete(host);
  }

  /** Whether this process reaches a host; dials it where it is a router that it has no link to. */
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
      // After a pause of its own a process takes its links for silent; they need time to come back.
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

async function probe(helper: Peer, host: string): Promise<boolean | string> {
  try {
    const { reached } = await helper.link.call(CallMethod.Probe, { host });
    return reached;
  } catch (error) {
    return describeError(error);
  }
}
