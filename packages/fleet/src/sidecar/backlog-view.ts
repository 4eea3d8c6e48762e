/** What a sidecar knows of the queues of the routers that it is linked to. */
import type { Backlog, BacklogLine, ClaimLine } from '../messages.ts';

interface KnownLine {
  line: ClaimLine;
  count: number;
}

interface RouterBacklog {
  lines: Map<string, KnownLine>;
  /** Claims sent and not yet answered, by line. */
  claimed: Map<string, number>;
}

/** The backlog of all linked routers. */
export class BacklogView {
  private readonly routers = new Map<string, RouterBacklog>();

  /** Takes a router's notice in. */
  update(router: string, backlog: Backlog): void {
    const held = this.routers.get(router) ?? { lines: new Map(), claimed: new Map() };
    this.routers.set(router, held);
    if (backlog.full) held.lines.clear();
    for (const entry of backlog.lines) setLine(held, entry);
  }

  /** Forgets a router. */
  remove(router: string): void {
    this.routers.delete(router);
  }

  /** Workspaces for which some request waits that no claim is out for. */
  workspaces(): Set<string> {
    const found = new Set<string>();
    for (const held of this.routers.values()) {
      for (const { line, count } of held.lines.values()) {
        if (count > claimedOf(held, line)) found.add(line.workspace);
      }
    }
    return found;
  }

  /** The router with the most unclaimed requests of a workspace, and its lines of that workspace. */
  findRouter(workspace: string): { router: string; lines: ClaimLine[] } | undefined {
    let best: { router: string; lines: ClaimLine[]; waiting: number } | undefined;
    for (const [router, held] of this.routers) {
      const open = [...held.lines.values()].filter(
        ({ line, count }) => line.workspace === workspace && count > claimedOf(held, line),
      );
      const waiting = open.reduce((sum, { line, count }) => sum + count - claimedOf(held, line), 0);
      if (waiting > (best?.waiting ?? 0))
        best = { router, lines: open.map(({ line }) => line), waiting };
    }
    return best;
  }

  /** Notes that a claim is out for a line, or has been answered. */
  noteClaim(router: string, line: ClaimLine, change: 1 | -1): void {
    const held = this.routers.get(router);
    if (held === undefined) return;
    const count = claimedOf(held, line) + change;
    if (count <= 0) held.claimed.delete(keyOfLine(line));
    else held.claimed.set(keyOfLine(line), count);
  }

  /** Notes that a router had nothing in these lines. */
  noteEmpty(router: string, lines: readonly ClaimLine[]): void {
    const held = this.routers.get(router);
    for (const line of lines) held?.lines.delete(keyOfLine(line));
  }

  /** Notes that a router has granted a request of a line. */
  noteGrant(router: string, line: ClaimLine): void {
    const known = this.routers.get(router)?.lines.get(keyOfLine(line));
    if (known !== undefined && known.count > 0) known.count -= 1;
  }
}

function setLine(held: RouterBacklog, { pool, workspace, pinned, count }: BacklogLine): void {
  const line = { pool, workspace, pinned };
  if (count === 0) held.lines.delete(keyOfLine(line));
  else held.lines.set(keyOfLine(line), { line, count });
}

function claimedOf(held: RouterBacklog, line: ClaimLine): number {
  return held.claimed.get(keyOfLine(line)) ?? 0;
}

function keyOfLine(line: ClaimLine): string {
  return `${line.pool}\u0000${line.workspace}\u0000${line.pinned ? 'pinned' : ''}`;
}
