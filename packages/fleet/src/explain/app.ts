/**
 * Plug-in that serves this process's traces of requests as the moleculer action `explain.show`.
 * Operators may query any request, a workspace only its own.
 */
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { RequestTrace } from '@poplarpick/decisions';
import { statusBoardKey, traceStoreKey } from '../component-keys.ts';

/** Parameters of `explain.show`. */
export interface ExplainQuery {
  request: string;
  /** The workspace that sends the query; undefined for an operator. */
  workspace?: string | undefined;
}

class ExplainPlugin extends Plugin {
  override readonly name = 'explain';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['status'];

  override async start(kernel: Kernel): Promise<void> {
    const traceStore = kernel.resolve(traceStoreKey);
    kernel.resolve(statusBoardKey).add('traces', () => ({ requests: traceStore.size }));
    kernel.broker.createService({
      name: 'explain',
      actions: {
        show: ({ params }: { params: ExplainQuery }) =>
          selectVisibleTrace(traceStore.find(params.request), params),
      },
    });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

/**
 * Returns the trace if the sender of the query may see it, otherwise null. A workspace gets the same
 * result for another workspace's request as for one that does not exist.
 */
export function selectVisibleTrace(
  trace: RequestTrace | undefined,
  { workspace }: ExplainQuery,
): RequestTrace | null {
  if (trace === undefined) return null;
  if (workspace !== undefined && trace.workspace !== workspace) return null;
  return trace;
}

registerPlugin(() => new ExplainPlugin());
