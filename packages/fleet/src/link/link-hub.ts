/**
 * Registry of the links of one process and of the peers that they connect to. Plug-ins register message
 * handlers for every link and listeners for peers; a peer is registered once the hello exchange has
 * succeeded. A later link from the same host replaces the earlier one, which may be dead without
 * either end noticing. If two hosts dial each other at the same time, both retain the link that was
 * dialled by the host whose name sorts first.
 */
import type { Socket } from 'node:net';
import type { Clock, Logger, Metrics, Role } from '@poplarpick/kernel';
import { describeError, Metric, RepairKind, reportRepair } from '@poplarpick/kernel';
import { CallMethod } from '../messages.ts';
import type { Transport } from '../trust/transport.ts';
import type { Hello } from '../messages.ts';
import { Link } from './link.ts';
import type { LinkTraffic } from './link.ts';
import { LinkDialler } from './link-dialler.ts';

/** A process at the other end of a link, with the hello that it sent. */
export interface Peer extends Hello {
  link: Link;
  /** Whether this process dialled the link, rather than accepted it. */
  dialled: boolean;
}

/** Thrown when the hello is from a process of another fleet. */
export class WrongFleetError extends Error {
  constructor(peerFleet: string, ownFleet: string) {
    super(`fleet ${peerFleet} is not ${ownFleet}`);
    this.name = 'WrongFleetError';
  }
}

/** Maximum number of disconnected hosts for which the reason of the loss is stored. */
const MAX_LOSS_REASONS = 4_096;

/** Thrown when the identity in the hello does not match the certificate. */
export class WrongIdentityError extends Error {
  constructor(mismatch: string) {
    super(mismatch);
    this.name = 'WrongIdentityError';
  }
}

/** Delay before a refused link is closed, so that the refusal reaches the peer. */
const REFUSED_LINK_CLOSE_DELAY_MS = 200;

type LinkInitializer = (link: Link) => void;
type PeerJoinedListener = (peer: Peer) => void;
type PeerLostListener = (peer: Peer, reason: string) => void;
type UseCheck = (peer: Peer) => boolean;

/** A host to dial and its address for links. */
export interface DialTarget {
  host: string;
  address: string;
}

/** Options of a `LinkHub`. */
export interface LinkHubOptions {
  hello: Hello;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  traffic: LinkTraffic;
  transport: Transport;
}

/** Owns all links of a process: accepts and dials them, and verifies and registers their peers. */
export class LinkHub {
  private readonly options: LinkHubOptions;
  private readonly linkInitializers: LinkInitializer[] = [];
  private readonly peerJoinedListeners: PeerJoinedListener[] = [];
  private readonly peerLostListeners: PeerLostListener[] = [];
  private readonly useChecks: UseCheck[] = [];
  private readonly diallers = new Map<string, { host: string; dialler: LinkDialler }>();
  private readonly peersByLink = new Map<Link, Peer>();
  private readonly peersByHost = new Map<string, Peer>();
  private readonly openLinks = new Set<Link>();
  /** Reason for which the last link of each disconnected host was closed. */
  private readonly lossReasons = new Map<string, string>();

  constructor(options: LinkHubOptions) {
    this.options = options;
  }

  /** Adds a function that registers message handlers on every link opened from now on. */
  onLink(initializer: LinkInitializer): void {
    this.linkInitializers.push(initializer);
  }

  /** Adds a listener that is called when a peer's hello has been accepted. */
  onPeerJoined(listener: PeerJoinedListener): void {
    this.peerJoinedListeners.push(listener);
  }

  /** Adds a listener that is called when the link of a peer has closed, also if another replaces it. */
  onPeerLost(listener: PeerLostListener): void {
    this.peerLostListeners.push(listener);
  }

  /** All connected peers, or those of one role. */
  peers(role?: Role): Peer[] {
    return [...this.peersByHost.values()].filter(
      (peer) => role === undefined || peer.role === role,
    );
  }

  findPeerByLink(link: Link): Peer | undefined {
    return this.peersByLink.get(link);
  }

  findPeer(host: string): Peer | undefined {
    return this.peersByHost.get(host);
  }

  /** Adds a check that keeps the link to a peer open after the peer is no longer a dial target. */
  addUseCheck(isInUse: UseCheck): void {
    this.useChecks.push(isInUse);
  }

  /**
   * Sets the hosts to dial. Dialled links to other hosts are closed unless a use check still needs
   * them; call this periodically to close them once none does.
   */
  setDialTargets(targets: readonly DialTarget[]): void {
    const hostsByAddress = new Map(targets.map(({ host, address }) => [address, host]));
    for (const [address, { host, dialler }] of this.diallers) {
      if (hostsByAddress.get(address) === host) dialler.resumeDialling();
      else this.retireDialler(address, host, dialler);
    }
    for (const [address, host] of hostsByAddress) {
      if (this.diallers.has(address)) continue;
      this.diallers.set(address, { host, dialler: this.createDialler(address, host) });
    }
  }

  /** Creates a link on an accepted socket and waits for the peer's hello; `onAdmitted` is called after it. */
  accept(socket: Socket, onAdmitted?: () => void): void {
    const { clock, log, traffic } = this.options;
    const link = new Link({
      socket,
      clock,
      log,
      traffic,
      onClose: (lost, reason) => this.removeLink(lost, reason),
    });
    link.requireHello();
    link.handleCall(CallMethod.Hello, (hello) => {
      const own = this.answerHello(link, socket, hello);
      onAdmitted?.();
      return own;
    });
    this.initializeLink(link);
  }

  /** Closes all links. */
  close(): void {
    for (const { dialler } of this.diallers.values()) dialler.stop();
    this.diallers.clear();
    for (const link of [...this.openLinks]) link.close('process is stopping');
  }

  /** Stops a dialler, and closes its link and removes it unless a use check still needs the link. */
  private retireDialler(address: string, host: string, dialler: LinkDialler): void {
    const peer = this.peersByHost.get(host);
    dialler.stopDialling();
    if (
      peer !== undefined &&
      dialler.hasOpenLink &&
      this.useChecks.some((isInUse) => isInUse(peer))
    )
      return;
    this.diallers.delete(address);
    dialler.stop();
  }

  private createDialler(address: string, host: string): LinkDialler {
    const { clock, log, traffic, transport } = this.options;
    return new LinkDialler({
      address,
      clock,
      log,
      traffic,
      transport,
      onOpen: (link, socket) => this.sendHello(link, socket),
      onClose: (link, reason) => this.removeLink(link, reason),
      isLinkNeeded: () => !this.peersByHost.has(host),
    });
  }

  private sendHello(link: Link, socket: Socket): void {
    this.initializeLink(link);
    link
      .call(CallMethod.Hello, this.options.hello)
      .then((hello) => {
        this.verifyHello(socket, hello);
        this.addPeer({ ...hello, link, dialled: true });
      })
      .catch((error: unknown) => {
        // The peer may have closed the link only because it retained one that it dialled itself.
        const level = link.isClosed ? 'debug' : 'warn';
        this.options.log[level]({
          event: 'link.hello_failed',
          remote: link.remote,
          error: describeError(error),
        });
        link.close('hello failed');
      });
  }

  private answerHello(link: Link, socket: Socket, hello: Hello): Hello {
    try {
      this.verifyHello(socket, hello);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.options.log.warn({ event: 'trust.refused', remote: link.remote, reason });
      this.options.clock.after(REFUSED_LINK_CLOSE_DELAY_MS, () => link.close('refused'));
      throw error;
    }
    link.admit();
    this.addPeer({ ...hello, link, dialled: false });
    return this.options.hello;
  }

  /** Throws if the hello is from another fleet or does not match the certificate. */
  private verifyHello(socket: Socket, hello: Hello): void {
    const { transport, hello: own } = this.options;
    if (hello.fleet !== own.fleet) throw new WrongFleetError(hello.fleet, own.fleet);
    const mismatch = transport.findIdentityMismatch(socket, hello);
    if (mismatch !== undefined) throw new WrongIdentityError(mismatch);
  }

  private initializeLink(link: Link): void {
    this.openLinks.add(link);
    this.linkInitializers.forEach((initializer) => initializer(link));
  }

  private addPeer(peer: Peer): void {
    if (peer.link.isClosed) return;
    const earlier = this.peersByHost.get(peer.host);
    if (earlier !== undefined && this.prefersEarlier(earlier, peer)) {
      peer.link.close('the other link between these hosts is kept');
      return;
    }
    earlier?.link.close('replaced by a newer link');
    this.peersByHost.set(peer.host, peer);
    this.peersByLink.set(peer.link, peer);
    this.options.log.info({ event: 'peer.joined', peer: peer.host, role: peer.role });
    this.reportReplacement(peer);
    this.peerJoinedListeners.forEach((listener) => listener(peer));
  }

  /**
   * Whether to retain the earlier of two links to a host: if each side dialled one, the link dialled by
   * the host whose name sorts first wins. Otherwise the later link replaces the earlier one.
   */
  private prefersEarlier(earlier: Peer, later: Peer): boolean {
    if (earlier.incarnation !== later.incarnation || earlier.dialled === later.dialled)
      return false;
    const ownComesFirst = this.options.hello.host < later.host;
    return earlier.dialled === ownComesFirst;
  }

  /** Reports a repair if the peer reconnects after its link was lost. */
  private reportReplacement(peer: Peer): void {
    const cause = this.lossReasons.get(peer.host);
    if (cause === undefined) return;
    this.lossReasons.delete(peer.host);
    reportRepair(this.options, { kind: RepairKind.LinkReplaced, cause, subject: peer.host });
  }

  private removeLink(link: Link, reason: string): void {
    this.openLinks.delete(link);
    const peer = this.peersByLink.get(link);
    if (peer === undefined) return;
    this.peersByLink.delete(link);
    if (this.peersByHost.get(peer.host) === peer) this.peersByHost.delete(peer.host);
    if (this.lossReasons.size >= MAX_LOSS_REASONS) this.lossReasons.clear();
    this.lossReasons.set(peer.host, reason);
    this.options.metrics.increment(Metric.LinksReplaced, 1, { peer: peer.host });
    this.options.log.info({ event: 'peer.lost', peer: peer.host, reason });
    this.peerLostListeners.forEach((listener) => listener(peer, reason));
  }
}
