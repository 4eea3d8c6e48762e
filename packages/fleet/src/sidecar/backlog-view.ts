/** What a sidecar knows of the queues of the routers that it is linked to. */
import type { BacklogUpdate, BacklogQueue, ClaimQueue } from '../messages.ts';

interface LineState {
  line: ClaimQueue;
  count: number;
  /** Claims sent and not yet answered. */
  claimed: number;
  /** Sequence number under which the router told the count. */
  sequence: number;
}

/** Lines of one workspace in one router, by key. */
type RouterLines = Map<string, LineState>;

/** The backlog of all linked routers. */
export class BacklogView {
  private readonly workspaces = new Map<string, Map<string, RouterLines>>();
  /** Sequence number of the last whole backlog of each router. */
  private readonly fullSequences = new Map<string, number>();

  /** Takes a router's notice in; returns the workspaces that it names. */
  update(router: string, backlog: BacklogUpdate): Set<string> {
    const changed = backlog.full ? this.removeRouter(router) : new Set<string>();
    if (backlog.full) this.fullSequences.set(router, backlog.sequence);
    for (const entry of backlog.lines) {
      changed.add(entry.workspace);
      this.setLine(router, entry, backlog.sequence);
    }
    return changed;
  }

  /** Forgets a router; returns the workspaces that waited there. */
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

  /** Whether a request of the workspace waits anywhere. */
  hasWaiting(workspace: string): boolean {
    for (const lines of this.workspaces.get(workspace)?.values() ?? []) {
      for (const { count } of lines.values()) if (count > 0) return true;
    }
    return false;
  }

  /** The router with the most requests of a workspace that no claim is out for. */
  findRouter(workspace: string): string | undefined {
    let bestRouter: string | undefined;
    let maxUnclaimed = 0;
    for (const [router, lines] of this.workspaces.get(workspace) ?? []) {
      const unclaimed = countUnclaimed(lines);
      if (unclaimed <= maxUnclaimed) continue;
      bestRouter = router;
      maxUnclaimed = unclaimed;
    }
    return bestRouter;
  }

  /** Requests of a workspace in a router that no claim is out for. */
  countUnclaimed(router: string, workspace: string): number {
    const lines = this.workspaces.get(workspace)?.get(router);
    return lines === undefined ? 0 : countUnclaimed(lines);
  }

  /** Lines of a workspace in a router that hold more requests than are claimed. */
  listUnclaimedLines(router: string, workspace: string): ClaimQueue[] {
    return [...(this.workspaces.get(workspace)?.get(router)?.values() ?? [])]
      .filter(({ count, claimed }) => count > claimed)
      .map(({ line }) => line);
  }

  /** Notes that a claim is out for a line, or has been answered. */
  adjustClaimed(router: string, line: ClaimQueue, change: 1 | -1): void {
    const known = this.find(router, line);
    if (known !== undefined) known.claimed = Math.max(0, known.claimed + change);
  }

  /**
   * Sets how many requests a router has in a line. Answers to claims and notices pass each other, so a
   * count that was told before the one that is known changes nothing.
   */
  setCount(router: string, line: ClaimQueue, count: number, sequence?: number): void {
    this.setLine(router, { ...line, count }, sequence);
  }

  private setLine(
    router: string,
    { pool, workspace, pinned, count }: BacklogQueue,
    sequence: number | undefined,
  ): void {
    const line = { pool, workspace, pinned };
    const existing = this.find(router, line);
    const lastSequence = existing?.sequence ?? this.fullSequences.get(router) ?? 0;
    if (sequence !== undefined && sequence < lastSequence) return;
    if (existing !== undefined) {
      existing.count = count;
      existing.sequence = sequence ?? lastSequence;
      return;
    }
    const routers = this.workspaces.get(workspace) ?? new Map<string, RouterLines>();
    const lines = routers.get(router) ?? new Map<string, LineState>();
    this.workspaces.set(workspace, routers);
    routers.set(router, lines);
    lines.set(formatLineKey(line), { line, count, claimed: 0, sequence: sequence ?? lastSequence });
  }

  private find(router: string, line: ClaimQueue): LineState | undefined {
    return this.workspaces.get(line.workspace)?.get(router)?.get(formatLineKey(line));
  }
}

function countUnclaimed(lines: RouterLines): number {
  let open = 0;
  for (const { count, claimed } of lines.values()) open += Math.max(0, count - claimed);
  return open;
}

function formatLineKey(line: ClaimQueue): string {
  return `${line.pool}\u0000${line.pinned ? 'pinned' : ''}`;
}
