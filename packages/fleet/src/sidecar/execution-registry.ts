/** The executions of a sidecar that their routers have not settled yet. */
import type { Peer } from '../link/link-hub.ts';
import type { AttemptReference } from '../messages.ts';
import type { Execution } from './execution.ts';

/** Stores executions by request id. */
export class ExecutionRegistry {
  private readonly byRequest = new Map<string, Execution>();

  get size(): number {
    return this.byRequest.size;
  }

  set(request: string, execution: Execution): void {
    this.byRequest.set(request, execution);
  }

  delete(request: string): void {
    this.byRequest.delete(request);
  }

  get(request: string): Execution | undefined {
    return this.byRequest.get(request);
  }

  list(): Execution[] {
    return [...this.byRequest.values()];
  }

  /** Executions whose run at the endpoint has not ended. */
  listRunning(): Execution[] {
    return this.list().filter(({ end, run }) => end === undefined && run !== undefined);
  }

  /** Attempts that were granted by this incarnation of a router. */
  listAttemptsOf({ host, incarnation }: Peer): AttemptReference[] {
    return this.list()
      .filter(({ router, routerIncarnation }) => {
        return router === host && routerIncarnation === incarnation;
      })
      .map(({ id, grant }) => ({ request: id, attempt: grant.attempt }));
  }

  /** The execution of exactly this attempt, if it is stored. */
  find({ request, attempt }: AttemptReference): Execution | undefined {
    const execution = this.byRequest.get(request);
    return execution?.grant.attempt === attempt ? execution : undefined;
  }
}
