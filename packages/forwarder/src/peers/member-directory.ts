/**
 * The routers of the fleet that a router has heard of, by address, with their data centres. A member counts
 * as live while reports name it. Its address is kept for longer, so that the sides of a partition find each
 * other again.
 */

/** Time for which a member counts as live after it was last known to be, in ms. */
const LIVE_TTL_MS = 3_500;

/** Time after the last report that named a member after which its address is forgotten, in ms. */
const ADDRESS_TTL_MS = 600_000;

/** Most addresses that are stored, as a bound on faulty reports; no fleet has as many routers. */
const MAX_MEMBERS = 2_000;

/** Address and data centre of a router, as reports list it. */
export type MemberEntry = [address: string, dataCentre: string];

interface Member {
  /** Undefined for a router whose version doesn't tell it. */
  dataCentre: string | undefined;
  /** Monotonic time of the latest report that named it, in ms. */
  namedAt: number;
  /** Monotonic time at which it was last known to be live, in ms. */
  liveAt: number;
}

/** Stores the members. */
export class MemberDirectory {
  private readonly members = new Map<string, Member>();
  private readonly ownAddress: string;

  constructor(ownAddress: string) {
    this.ownAddress = ownAddress;
  }

  /** Records a router whose own report, or that of a relay of its data centre, shows that it is live. */
  recordLive(address: string, dataCentre: string | undefined, now: number): void {
    const member = this.recordNamed(address, dataCentre, now);
    if (member !== undefined) member.liveAt = now;
  }

  /**
   * Records a router that another one names. That makes only a router live of which nothing was known: two
   * routers that name a dead one to each other would else keep it alive.
   */
  recordHearsay(address: string, dataCentre: string | undefined, now: number): void {
    const isUnknown = !this.members.has(address);
    const member = this.recordNamed(address, dataCentre, now);
    if (member !== undefined && isUnknown) member.liveAt = now;
  }

  /** Replaces the live members of a data centre with the list that one of its relays gives. */
  replace(dataCentre: string, addresses: readonly string[], now: number): void {
    const listed = new Set(addresses);
    for (const [address, member] of this.members) {
      if (member.dataCentre === dataCentre && !listed.has(address))
        member.liveAt = Number.NEGATIVE_INFINITY;
    }
    for (const address of addresses) this.recordLive(address, dataCentre, now);
  }

  /** Addresses of the live members, by data centre; without those whose data centre is unknown. */
  liveByDataCentre(now: number): Map<string, string[]> {
    const groups = new Map<string, string[]>();
    for (const [address, { dataCentre, liveAt }] of this.members) {
      if (dataCentre === undefined || now - liveAt >= LIVE_TTL_MS) continue;
      const group = groups.get(dataCentre);
      if (group === undefined) groups.set(dataCentre, [address]);
      else group.push(address);
    }
    return groups;
  }

  /** The live members as reports list them. */
  listLive(now: number): MemberEntry[] {
    return [...this.liveByDataCentre(now)].flatMap(([dataCentre, addresses]) =>
      addresses.map((address): MemberEntry => [address, dataCentre]),
    );
  }

  /** All known addresses of a data centre, live or not; those of all data centres if it is undefined. */
  addressesOf(dataCentre?: string): string[] {
    return this.filterAddresses(
      (member) => dataCentre === undefined || member.dataCentre === dataCentre,
    );
  }

  /** Addresses of the routers whose data centre is unknown. */
  unplacedAddresses(): string[] {
    return this.filterAddresses((member) => member.dataCentre === undefined);
  }

  /** Names of the data centres with known members. */
  dataCentres(): Set<string> {
    const names = new Set<string>();
    for (const { dataCentre } of this.members.values()) {
      if (dataCentre !== undefined) names.add(dataCentre);
    }
    return names;
  }

  /** Forgets the members that no report has named for long. */
  forgetOld(now: number): void {
    for (const [address, { namedAt }] of this.members) {
      if (now - namedAt > ADDRESS_TTL_MS) this.members.delete(address);
    }
  }

  private recordNamed(
    address: string,
    dataCentre: string | undefined,
    now: number,
  ): Member | undefined {
    if (address === this.ownAddress) return undefined;
    const known = this.members.get(address);
    if (known !== undefined) {
      known.dataCentre = dataCentre ?? known.dataCentre;
      known.namedAt = now;
      return known;
    }
    if (this.members.size >= MAX_MEMBERS) return undefined;
    const member = { dataCentre, namedAt: now, liveAt: Number.NEGATIVE_INFINITY };
    this.members.set(address, member);
    return member;
  }

  private filterAddresses(matches: (member: Member) => boolean): string[] {
    return [...this.members].filter(([, member]) => matches(member)).map(([address]) => address);
  }
}
