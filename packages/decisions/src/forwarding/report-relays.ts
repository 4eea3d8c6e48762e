/**
 * Decides which routers carry reports between data centres. Within a data centre every router sends its
 * reports to all others. Between data centres a few relays exchange one group report for all routers of
 * theirs, so that the traffic grows with the number of data centres and not with the square of the routers.
 *
 * All routers of a data centre elect the same relays as long as they see the same members, without a
 * message. They may disagree for a while: the receiver of a group report passes it on whether or not it
 * counts itself as a relay, and a second copy of a report does no harm.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Relays of one data centre. With two, group reports continue at half the rate when one of them fails. */
export const RELAYS_PER_DATA_CENTRE = 2;

/** Elects the relays of a data centre from the addresses of its live routers, the first one first. */
export function electRelays(dataCentre: string, addresses: readonly string[]): string[] {
  return rankByRendezvous(`relay ${dataCentre}`, addresses).slice(0, RELAYS_PER_DATA_CENTRE);
}

/**
 * True if a relay sends the group report in this turn. The relays of a data centre take turns, so that
 * together they send one group report a turn.
 */
export function isRelayTurn(relays: readonly string[], address: string, turn: number): boolean {
  const index = relays.indexOf(address);
  return index >= 0 && turn % relays.length === index;
}

/** The relay of another data centre that receives the group report in this turn; they alternate. */
export function selectRemoteRelay(relays: readonly string[], turn: number): string | undefined {
  return relays[Math.floor(turn / RELAYS_PER_DATA_CENTRE) % Math.max(1, relays.length)];
}

/**
 * The relay that passes on the announcements of one router of its data centre. Announcements are passed on
 * once, unlike sums, which every relay sends in full. A relay passes on its own.
 */
export function selectAnnouncer(relays: readonly string[], router: string): string | undefined {
  if (relays.includes(router)) return router;
  return rankByRendezvous(`announce ${router}`, relays)[0];
}
