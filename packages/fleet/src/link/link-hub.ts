/**
 * The links of one process and the peers behind them. Plug-ins register handlers for every link and
 * listeners for peers; a peer is known once the hello has passed. A later link of the same host
 * replaces the earlier one, which may have gone silent without either end noticing.
 */
import type { Socket } from 'node:net';
import type { Clock, Logger, Metrics, Role } from '@poplarpick/kernel';
import { describeError, Metric, RepairKind, tellRepair } from '@poplarpick/kernel';
import { CallMethod } from '../messages.ts';
import type { Hello } from '../messages.ts';
import { Link } from './link.ts';
import type { LinkTraffic } from './link.ts';
import { LinkDialler } from './link-dialler.ts';

/** A process at the other end of a link. */
export interface Peer extends Hello {
  link: Link;
}

/** A process of another fleet has said hello. */
export class WrongFleetError extends Error {
  constructor(theirs: string, ours: string) {
    super(`fleet ${theirs} is not ${ours}`);
    this.name = 'WrongFleetError';
  }
}

/** Most absent hosts whose loss is remembered. */
const LOSS_REASON_LIMIT = 4_096;

type LinkSetup = (link: Link) => void;
type PeerListener = (peer: Peer) => void;
type LossListener = (peer: Peer, reason: string) => void;

/** Options of a `LinkHub`. */
export interface LinkHubOptions {
  hello: Hello;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  traffic: LinkTraffic;
}

/** Owns all links of a process. */
export class LinkHub {
  private readonly options: LinkHubOptions;
  private readonly setups: LinkSetup[] = [];
  private readonly joinListeners: PeerListener[] = [];
  private readonly lossListeners: LossListener[] = [];
  private readonly diallers = new Map<string, LinkDialler>();
  private readonly peersByLink = new Map<Link, Peer>();
  private readonly peersByHost = new Map<string, Peer>();
  private readonly open = new Set<Link>();
  /** Why the last link of each absent host was lost. */
  private readonly lossReasons = new Map<string, string>();

  constructor(options: LinkHubOptions) {
    this.options = options;
  }

  /** Registers handlers on every link that opens from now on. */
  onLink(setup: LinkSetup): void {
    this.setups.push(setup);
  }

  onJoin(listener: PeerListener): void {
    this.joinListeners.push(listener);
  }

  onLoss(listener: LossListener): void {
    this.lossListeners.push(listener);
  }

  /** All peers with a live link. */
  peers(role?: Role): Peer[] {
    return [...this.peersByHost.values()].filter(
      (peer) => role === undefined || peer.role === role,
    );
  }

  peerOf(link: Link): Peer | undefined {
    return this.peersByLink.get(link);
  }

  findPeer(host: string): Peer | undefined {
    return this.peersByHost.get(host);
  }

  /** Dials exactly these addresses; links to others that were dialled are closed. */
  dialOnly(addresses: ReadonlySet<string>): void {
    for (const [address, dialler] of this.diallers) {
      if (addresses.has(address)) continue;
      this.diallers.delete(address);
      dialler.stop();
    }
    for (const address of addresses) {
      if (!this.diallers.has(address)) this.diallers.set(address, this.makeDialler(address));
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
      onClose: (lost, reason) => this.lose(lost, reason),
    });
    link.handleCall(CallMethod.Hello, (hello) => this.welcome(link, hello));
    this.prepare(link);
  }

  /** Closes all links. */
  close(): void {
    this.dialOnly(new Set());
    for (const link of [...this.open]) link.close('process is stopping');
  }

  private makeDialler(address: string): LinkDialler {
    const { clock, log, traffic } = this.options;
    return new LinkDialler({
      address,
      clock,
      log,
      traffic,
      onOpen: (link) => this.introduce(link),
      onClose: (link, reason) => this.lose(link, reason),
    });
  }

  private introduce(link: Link): void {
    this.prepare(link);
    link
      .call(CallMethod.Hello, this.options.hello)
      .then((hello) => this.join({ ...hello, link }))
      .catch((error: unknown) => {
        this.options.log.warn({
          event: 'link.hello_failed',
          remote: link.remote,
          error: describeError(error),
        });
        link.close('hello failed');
      });
  }

  private welcome(link: Link, hello: Hello): Hello {
    if (hello.fleet !== this.options.hello.fleet) {
      this.options.log.warn({ event: 'link.wrong_fleet', remote: link.remote, fleet: hello.fleet });
      throw new WrongFleetError(hello.fleet, this.options.hello.fleet);
    }
    this.join({ ...hello, link });
    return this.options.hello;
  }

  private prepare(link: Link): void {
    this.open.add(link);
    this.setups.forEach((setup) => setup(link));
  }

  private join(peer: Peer): void {
    if (peer.link.isClosed) return;
    this.peersByHost.get(peer.host)?.link.close('replaced by a newer link');
    this.peersByHost.set(peer.host, peer);
    this.peersByLink.set(peer.link, peer);
    this.options.log.info({ event: 'peer.joined', peer: peer.host, role: peer.role });
    this.tellReplacement(peer);
    this.joinListeners.forEach((listener) => listener(peer));
  }

  private tellReplacement(peer: Peer): void {
    const cause = this.lossReasons.get(peer.host);
    if (cause === undefined) return;
    this.lossReasons.delete(peer.host);
    tellRepair(this.options, { kind: RepairKind.LinkReplaced, cause, subject: peer.host });
  }

  private lose(link: Link, reason: string): void {
    this.open.delete(link);
    const peer = this.peersByLink.get(link);
    if (peer === undefined) return;
    this.peersByLink.delete(link);
    if (this.peersByHost.get(peer.host) === peer) this.peersByHost.delete(peer.host);
    if (this.lossReasons.size >= LOSS_REASON_LIMIT) this.lossReasons.clear();
    this.lossReasons.set(peer.host, reason);
    this.options.metrics.increment(Metric.LinksReplaced, 1, { peer: peer.host });
    this.options.log.info({ event: 'peer.lost', peer: peer.host, reason });
    this.lossListeners.forEach((listener) => listener(peer, reason));
  }
}
