/**
 * Fair choice by weighted virtual service: the backlogged workspace that has received the least
 * service for its weight goes first. A workspace that becomes backlogged again is lifted to the least
 * among the backlogged, so that idle time earns no credit.
 */

/** Virtual service of a workspace: cost divided by weight, plus its lift. */
export class FairShare {
  private readonly lifts = new Map<string, number>();
  private backlogged = new Set<string>();

  /** Updates which workspaces are backlogged; `serviceOf` gives cost divided by weight. */
  setBacklogged(workspaces: ReadonlySet<string>, serviceOf: (workspace: string) => number): void {
    const staying = [...workspaces].filter((workspace) => this.backlogged.has(workspace));
    if (staying.length > 0) {
      const least = Math.min(...staying.map((workspace) => this.virtual(workspace, serviceOf)));
      for (const workspace of workspaces) {
        if (this.backlogged.has(workspace)) continue;
        const behind = least - this.virtual(workspace, serviceOf);
        if (behind > 0) this.lifts.set(workspace, this.lift(workspace) + behind);
      }
    }
    this.backlogged = new Set(workspaces);
  }

  /** Backlogged workspaces, the least served first. */
  rank(serviceOf: (workspace: string) => number): string[] {
    return [...this.backlogged]
      .map((workspace) => ({ workspace, virtual: this.virtual(workspace, serviceOf) }))
      .sort((a, b) => a.virtual - b.virtual || (a.workspace < b.workspace ? -1 : 1))
      .map((entry) => entry.workspace);
  }

  private virtual(workspace: string, serviceOf: (workspace: string) => number): number {
    return serviceOf(workspace) + this.lift(workspace);
  }

  private lift(workspace: string): number {
    return this.lifts.get(workspace) ?? 0;
  }
}
