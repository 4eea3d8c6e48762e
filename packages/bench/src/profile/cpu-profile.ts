/** Evaluates CPU profiles in V8's format. */

/** The fields of a V8 CPU profile that are used here. */
export interface CpuProfile {
  nodes: ProfileNode[];
  samples: number[];
  /** Time before each sample, in microseconds. */
  timeDeltas: number[];
}

interface ProfileNode {
  id: number;
  callFrame: { functionName: string; url: string; lineNumber: number };
}

/** Self time of one function. */
export interface HotFunction {
  name: string;
  line: number;
  selfMs: number;
  /** Share of the total time that was not idle. */
  share: number;
}

const IDLE_FRAMES = new Set(['(idle)', '(program)']);

/** Lists the functions by self time, largest first. */
export function listHotFunctions({ nodes, samples, timeDeltas }: CpuProfile): HotFunction[] {
  const byId = new Map(nodes.map((node) => [node.id, node.callFrame]));
  const functions = new Map<string, HotFunction>();
  let busyMs = 0;
  samples.forEach((id, index) => {
    const frame = byId.get(id);
    if (frame === undefined || IDLE_FRAMES.has(frame.functionName)) return;
    const ms = (timeDeltas[index] ?? 0) / 1_000;
    const name = frame.functionName === '' ? '(anonymous)' : frame.functionName;
    const key = `${name}:${frame.lineNumber}`;
    const entry = functions.get(key) ?? { name, line: frame.lineNumber, selfMs: 0, share: 0 };
    entry.selfMs += ms;
    busyMs += ms;
    functions.set(key, entry);
  });
  return [...functions.values()]
    .map((entry) => ({ ...entry, share: entry.selfMs / busyMs }))
    .sort((a, b) => b.selfMs - a.selfMs);
}
