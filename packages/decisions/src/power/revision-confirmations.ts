/**
 * When a revision was last known to be the highest in force anywhere. Either the configuration service
 * has said so to a router, or every router of the fleet has said that it has none higher: then nobody
 * can have passed a higher one on, even while the service is down.
 */

/** A router's answer to the question whether a revision is the highest. */
export interface RevisionAnswer {
  /** Host of the router. */
  router: string;
  /** Revision that the router has in force. */
  revision: number;
  /** Time since the service confirmed that revision to the router; absent if it has not. */
  serviceAgeMs?: number | undefined;
}

/** Collects answers. All times are monotonic milliseconds of the process that asks. */
export class RevisionConfirmations {
  private readonly askedAtByRouter = new Map<string, number>();
  private revision = 0;

  /**
   * Takes in the answer to a question that was sent at `askedAt`. Returns the time at which the
   * answer, with those before it, confirms `revision`; undefined where it does not. `routers` are
   * all routers of the fleet.
   */
  recordAnswer(
    answer: RevisionAnswer,
    revision: number,
    askedAt: number,
    routers: readonly string[],
  ): number | undefined {
    if (revision !== this.revision) this.askedAtByRouter.clear();
    this.revision = revision;
    if (answer.revision > revision) {
      this.askedAtByRouter.clear();
      return undefined;
    }
    this.askedAtByRouter.set(answer.router, askedAt);
    const confirmedByService =
      answer.serviceAgeMs === undefined || answer.revision !== revision
        ? -Infinity
        : askedAt - answer.serviceAgeMs;
    const confirmedByRouters = routers.length === 0 ? -Infinity : this.findEarliestAskedAt(routers);
    const confirmedAt = Math.max(confirmedByService, confirmedByRouters);
    return confirmedAt === -Infinity ? undefined : confirmedAt;
  }

  private findEarliestAskedAt(routers: readonly string[]): number {
    return Math.min(...routers.map((router) => this.askedAtByRouter.get(router) ?? -Infinity));
  }
}
