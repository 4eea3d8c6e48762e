/**
 * Plug-in that tells what this process remembers of a request, as the moleculer action
 * `explain.show`. Operators may ask for any request, a workspace only for its own.
 */
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { RequestTrace } from '@poplarpick/decisions';
import { statusBoardKey, traceBookKey } from '../parts.ts';

/** Parameters of `explain.show`. */
export interface ExplainQuery {
  request: string;
  /** The workspace that asks; undefined for an operator. */
  workspace?: string | undefined;
}

class ExplainPlugin extends Plugin {
  override readonly name = 'explain';
  override readonly roles = [Role.Router, Role.Sidecar];
  override readonly requires = ['status'];

  override async start(kernel: Kernel): Promise<void> {
    const traceStore = kernel.resolve(traceBookKey);
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

/** The trace, if whoever asks may see it; a workspace cannot tell a foreign request from none. */
export function selectVisibleTrace(
  trace: RequestTrace | undefined,
  { workspace }: ExplainQuery,
): RequestTrace | null {
  if (trace === undefined) return null;
  if (workspace !== undefined && trace.workspace !== workspace) return null;
  return trace;
}

registerPlugin(() => new ExplainPlugin());
