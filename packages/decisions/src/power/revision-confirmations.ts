/**
 * Determines when a revision was last confirmed to be the highest in force anywhere. The
 * configuration service has confirmed it to a router, or every router of the fleet has answered that
 * it has no higher one. The second way works while the service is down: if no router has a higher
 * revision, none can have been forwarded to any process.
 */

/** A router's answer to a request to confirm a revision. */
export interface RevisionAnswer {
  /** Name of the router's host. */
  router: string;
  /** Revision that the router has in force. */
  revision: number;
  /** Time since the service confirmed that revision to the router; absent if it has not. */
  serviceAgeMs?: number | undefined;
}

/** Collects the routers' answers. All times are monotonic milliseconds of the requesting process. */
export class RevisionConfirmations {
  private readonly requestedAtByRouter = new Map<string, number>();
  private revision = 0;

  /**
   * Records the answer to a request that was sent at `requestedAt`. Returns the latest time for which this
   * and earlier answers confirm `revision`, or undefined if they do not confirm it. `routers` lists all
   * routers of the fleet.
   */
  recordAnswer(
    answer: RevisionAnswer,
    revision: number,
    requestedAt: number,
    routers: readonly string[],
  ): number | undefined {
    if (revision !== this.revision) this.requestedAtByRouter.clear();
    this.revision = revision;
    if (answer.revision > revision) {
      this.requestedAtByRouter.clear();
      return undefined;
    }
    this.requestedAtByRouter.set(answer.router, requestedAt);
    const confirmedByService =
      answer.serviceAgeMs === undefined || answer.revision !== revision
        ? -Infinity
        : requestedAt - answer.serviceAgeMs;
    const confirmedByRouters =
      routers.length === 0 ? -Infinity : this.findEarliestRequestedAt(routers);
    const confirmedAt = Math.max(confirmedByService, confirmedByRouters);
    return confirmedAt === -Infinity ? undefined : confirmedAt;
  }

  private findEarliestRequestedAt(routers: readonly string[]): number {
    return Math.min(...routers.map((router) => this.requestedAtByRouter.get(router) ?? -Infinity));
  }
}
