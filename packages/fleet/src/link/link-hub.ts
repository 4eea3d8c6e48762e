/**
 * The links of one process and the peers behind them. Plug-ins register handlers for every link and
 * listeners for peers; a peer is known once the hello has passed. A later link of the same host
 * replaces the earlier one, which may have gone silent without either end noticing; where two hosts
 * have dialled each other at the same time, both keep the link of the one whose name comes first.
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

/** A process at the other end of a link. */
export interface Peer extends Hello {
  link: Link;
  /** Whether this process has dialled the link. */
  dialled: boolean;
}

/** A process of another fleet has said hello. */
export class WrongFleetError extends Error {
  constructor(peerFleet: string, ownFleet: string) {
    super(`fleet ${peerFleet} is not ${ownFleet}`);
    this.name = 'WrongFleetError';
  }
}

/** Most absent hosts whose loss is remembered. */
const MAX_LOSS_REASONS = 4_096;

/** A process says that it is another than its certificate says. */
export class WrongIdentityError extends Error {
  constructor(mismatch: string) {
    super(mismatch);
    this.name = 'WrongIdentityError';
  }
}

/** Time for which a refused link stays open, so that the refusal arrives. */
const REFUSED_LINK_CLOSE_DELAY_MS = 200;

type LinkInitializer = (link: Link) => void;
type PeerJoinedListener = (peer: Peer) => void;
type PeerLostListener = (peer: Peer, reason: string) => void;
type UseCheck = (peer: Peer) => boolean;

/** A host to dial. */
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

/** Owns all links of a process. */
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
  /** Why the last link of each absent host was lost. */
  private readonly lossReasons = new Map<string, string>();

  constructor(options: LinkHubOptions) {
    this.options = options;
  }

  /** Registers handlers on every link that opens from now on. */
  onLink(initializer: LinkInitializer): void {
    this.linkInitializers.push(initializer);
  }

  onPeerJoined(listener: PeerJoinedListener): void {
    this.peerJoinedListeners.push(listener);
  }

  onPeerLost(listener: PeerLostListener): void {
    this.peerLostListeners.push(listener);
  }

  /** All peers with a live link. */
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

  /** Registers a reason to keep the link to a peer open although it is not to be dialled any more. */
  addUseCheck(isInUse: UseCheck): void {
    this.useChecks.push(isInUse);
  }

  /**
   * Dials exactly these hosts. Links to others that were dialled are closed once no use of them is
   * left, so a call repeated from time to time closes them in the end.
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

  /** Takes over a socket that the listener accepted. */
  accept(socket: Socket): void {
    const { clock, log, traffic } = this.options;
    const link = new Link({
      socket,
      clock,
      log,
      traffic,
      onClose: (lost, reason) => this.removeLink(lost, reason),
    });
    link.requireHello();
    link.handleCall(CallMethod.Hello, (hello) => this.answerHello(link, socket, hello));
    this.initializeLink(link);
  }

  /** Closes all links. */
  close(): void {
    for (const { dialler } of this.diallers.values()) dialler.stop();
    this.diallers.clear();
    for (const link of [...this.openLinks]) link.close('process is stopping');
  }

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
        // A link that the other side closed may just have lost against one dialled from there.
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

  /** Throws where a hello is not of this fleet, or not what the certificate says. */
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

  /** Whether the earlier of two links stays: both hosts have dialled, and this one's dialler comes first. */
  private prefersEarlier(earlier: Peer, later: Peer): boolean {
    if (earlier.incarnation !== later.incarnation || earlier.dialled === later.dialled)
      return false;
    const ownComesFirst = this.options.hello.host < later.host;
    return earlier.dialled === ownComesFirst;
  }

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
