/**
 * Addresses at which operators reach the peers of this process. Every process tells its own on each
 * new link, so that one known address leads to the whole fleet.
 */
import type { Link } from '../link/link.ts';
import type { LinkHub } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';

/** A linked process. */
export interface PeerEntry {
  host: string;
  role: string;
  dataCentre: string;
  /** Address for operators; null where the peer has not told it yet. */
  operators: string | null;
}

/** Knows the linked processes. */
export class PeerDirectory {
  private readonly hub: LinkHub;
  /** By link, since the notice may come before the hello has passed both ways. */
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

  /** Tells all peers, and those to come, the address of this process. */
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
