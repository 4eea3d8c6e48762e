/**
 * Operator addresses of the peers of this process. Every process sends its own on each new link, so an
 * operator who knows one address can discover the whole fleet.
 */
import type { Link } from '../link/link.ts';
import type { LinkHub } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';

/** A peer as operators see it. */
export interface PeerEntry {
  host: string;
  role: string;
  dataCentre: string;
  /** Address of the peer's operator interface; null if the peer has not sent it yet. */
  operators: string | null;
}

/** Lists the connected peers with their operator addresses. */
export class PeerDirectory {
  private readonly hub: LinkHub;
  /** Keyed by link, since the notification may arrive before the hello exchange has completed. */
  private readonly addresses = new WeakMap<Link, string>();
  private ownAddress: string | undefined;

  constructor(hub: LinkHub) {
    this.hub = hub;
    hub.onLink((link) => {
      link.handleNotification(NotificationMethod.OperatorsAddress, ({ address }) => {
        this.addresses.set(link, address);
      });
    });
    hub.onPeerJoined((peer) => {
      if (this.ownAddress !== undefined)
        peer.link.notify(NotificationMethod.OperatorsAddress, { address: this.ownAddress });
    });
  }

  /** Sends the operator address of this process to all current and future peers. */
  announce(address: string): void {
    this.ownAddress = address;
    for (const peer of this.hub.peers())
      peer.link.notify(NotificationMethod.OperatorsAddress, { address });
  }

  listPeers(): PeerEntry[] {
    return this.hub.peers().map(({ host, role, dataCentre, link }) => ({
      host,
      role,
      dataCentre,
      operators: this.addresses.get(link) ?? null,
    }));
  }
}
