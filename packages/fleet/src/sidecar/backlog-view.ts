/** Tracks the queue lengths of a sidecar's linked routers, from their backlog notifications. */
import type { BacklogUpdate, BacklogQueue, ClaimQueue } from '../messages.ts';

/** Last known state of one queue of a router. */
interface QueueState {
  queue: ClaimQueue;
  count: number;
  /** Claims that have been sent and not yet answered. */
  claimed: number;
  /** Sequence number under which the router reported the count. */
  sequence: number;
}

/** Queues of one workspace in one router, by key. */
type RouterQueues = Map<string, QueueState>;

/** The backlogs of all linked routers. */
export class BacklogView {
  private readonly workspaces = new Map<string, Map<string, RouterQueues>>();
  /** Sequence number of the last full backlog of each router. */
  private readonly fullSequences = new Map<string, number>();

  /** Applies a backlog notification. Returns the workspaces whose counts may have changed. */
  update(router: string, backlog: BacklogUpdate): Set<string> {
    const changed = backlog.full ? this.removeRouter(router) : new Set<string>();
    if (backlog.full) this.fullSequences.set(router, backlog.sequence);
    for (const entry of backlog.lines) {
      changed.add(entry.workspace);
      this.applyCount(router, entry, backlog.sequence);
    }
    return changed;
  }

  /** Removes a router. Returns the workspaces that it had queues of. */
  removeRouter(router: string): Set<string> {
    const changed = new Set<string>();
    this.fullSequences.delete(router);
    for (const [workspace, routers] of this.workspaces) {
      if (!routers.delete(router)) continue;
      changed.add(workspace);
      if (routers.size === 0) this.workspaces.delete(workspace);
    }
    return changed;
  }

  /** Whether any router has a waiting request of the workspace. */
  hasWaiting(workspace: string): boolean {
    for (const queues of this.workspaces.get(workspace)?.values() ?? []) {
      for (const { count } of queues.values()) if (count > 0) return true;
    }
    return false;
  }

  /** The router with the most unclaimed requests of a workspace. */
  findRouter(workspace: string): string | undefined {
    let bestRouter: string | undefined;
    let maxUnclaimed = 0;
    for (const [router, queues] of this.workspaces.get(workspace) ?? []) {
      const unclaimed = countUnclaimed(queues);
      if (unclaimed <= maxUnclaimed) continue;
      bestRouter = router;
      maxUnclaimed = unclaimed;
    }
    return bestRouter;
  }

  /** Number of unclaimed requests of a workspace in a router. */
  countUnclaimed(router: string, workspace: string): number {
    const queues = this.workspaces.get(workspace)?.get(router);
    return queues === undefined ? 0 : countUnclaimed(queues);
  }

  /** Queues of a workspace in a router that have unclaimed requests. */
  listUnclaimedQueues(router: string, workspace: string): ClaimQueue[] {
    return [...(this.workspaces.get(workspace)?.get(router)?.values() ?? [])]
      .filter(({ count, claimed }) => count > claimed)
      .map(({ queue }) => queue);
  }

  /** Records that a claim for a queue has been sent (1) or answered (-1). */
  adjustClaimed(router: string, queue: ClaimQueue, change: 1 | -1): void {
    const state = this.find(router, queue);
    if (state !== undefined) state.claimed = Math.max(0, state.claimed + change);
  }

  /**
   * Sets the number of requests in a queue of a router. Claim answers and backlog notifications can
   * arrive out of order, so a count with a lower sequence number than the current one is ignored.
   */
  setCount(router: string, queue: ClaimQueue, count: number, sequence?: number): void {
    this.applyCount(router, { ...queue, count }, sequence);
  }

  private applyCount(
    router: string,
    { pool, workspace, pinned, count }: BacklogQueue,
    sequence: number | undefined,
  ): void {
    const queue = { pool, workspace, pinned };
    const existing = this.find(router, queue);
    const lastSequence = existing?.sequence ?? this.fullSequences.get(router) ?? 0;
    if (sequence !== undefined && sequence < lastSequence) return;
    if (existing !== undefined) {
      existing.count = count;
      existing.sequence = sequence ?? lastSequence;
      return;
    }
    const routers = this.workspaces.get(workspace) ?? new Map<string, RouterQueues>();
    const queues = routers.get(router) ?? new Map<string, QueueState>();
    this.workspaces.set(workspace, routers);
    routers.set(router, queues);
    queues.set(formatClaimQueueKey(queue), {
      queue,
      count,
      claimed: 0,
      sequence: sequence ?? lastSequence,
    });
  }

  private find(router: string, queue: ClaimQueue): QueueState | undefined {
    return this.workspaces.get(queue.workspace)?.get(router)?.get(formatClaimQueueKey(queue));
  }
}

function countUnclaimed(queues: RouterQueues): number {
  let unclaimed = 0;
  for (const { count, claimed } of queues.values()) unclaimed += Math.max(0, count - claimed);
  return unclaimed;
}

function formatClaimQueueKey(queue: ClaimQueue): string {
  return `${queue.pool}\u0000${queue.pinned ? 'pinned' : ''}`;
}
