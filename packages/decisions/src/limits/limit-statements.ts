/**
 * What routers know of the limit of one endpoint: the requests a second that it takes from all routers
 * together. The endpoint names it in its responses for as long as it is in force. Responses reach routers late
 * and in any order, and a router hears of most of them from its peers. Therefore the time of the latest
 * statement counts, and only the response to a request that was sent after a statement can end it: the endpoint
 * has written that response later than the statement.
 */

/** The limit that a response names. */
export interface RequestLimit {
  /** The value as the endpoint sent it. */
  text: string;
  /** Requests a second from all routers together; undefined if the value can't be read. */
  perSecond: number | undefined;
}

/** A limit that an endpoint named. */
export interface LimitStatement {
  /** Requests a second from all routers together. */
  perSecond: number;
  /** Monotonic time at which a router received it, in ms. */
  namedAt: number;
}

/** Time for which the statement of a peer holds that no longer repeats it, in ms. */
const PEER_STATEMENT_TTL_MS = 2_000;

/** The limit that one incarnation of an endpoint named, to this router or to a peer. */
export class LimitStatements {
  private own: LimitStatement | undefined;
  /** Statements by the subject of the report, with the time of its receipt. */
  private readonly heard = new Map<string, LimitStatement & { receivedAt: number }>();
  /** Latest time of sending of a request whose response named no limit, in ms. */
  private unnamedSince = Number.NEGATIVE_INFINITY;

  /** Records a response that names a limit, received at `now`. */
  recordNamed(perSecond: number, now: number): void {
    this.own = { perSecond, namedAt: now };
  }

  /** Records a response that names no limit to a request that was sent at `sentAt`. */
  recordUnnamed(sentAt: number): void {
    this.unnamedSince = Math.max(this.unnamedSince, sentAt);
  }

  /** Stores what a peer reports, replacing its previous statement. */
  applyPeerStatement(subject: string, statement: LimitStatement, now: number): void {
    this.heard.set(subject, { ...statement, receivedAt: now });
  }

  /** The limit in force that this router has received itself; its reports name it. */
  findOwn(): LimitStatement | undefined {
    return this.own !== undefined && this.own.namedAt > this.unnamedSince ? this.own : undefined;
  }

  /** The latest limit in force, in requests a second; undefined if there is none. */
  current(now: number): number | undefined {
    let latest = this.findOwn();
    for (const [subject, statement] of this.heard) {
      if (now - statement.receivedAt > PEER_STATEMENT_TTL_MS) {
        this.heard.delete(subject);
        continue;
      }
      if (statement.namedAt <= this.unnamedSince) continue;
      if (latest === undefined || statement.namedAt > latest.namedAt) latest = statement;
    }
    return latest?.perSecond;
  }
}
