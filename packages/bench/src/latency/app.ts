/**
 * `latency`: what router and sidecar add to a call, against a direct call to the same stand-in. Calls
 * of both kinds alternate, so that both see the same machine.
 */
import { parseArgs } from 'node:util';
import { callChat, CallOutcome } from '@poplarpick/load';
import type { ChatResult } from '@poplarpick/load';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

const OUTPUT_TOKENS = 16;
const WARM_UP_CALLS = 20;
const MICROSECONDS = 1_000;

/** Times of one kind of call, in milliseconds. */
interface CallTimes {
  firstTokenP50: number;
  firstTokenP99: number;
  totalP50: number;
  totalP99: number;
}

/** What the command prints. */
interface LatencyResult {
  calls: number;
  direct: CallTimes;
  fleet: CallTimes;
  addedFirstTokenP50Ms: number;
  addedFirstTokenP99Ms: number;
  ratioTotalP50: number;
  ratioTotalP99: number;
}

class CallHistograms {
  private readonly firstToken = build();
  private readonly total = build();

  add(result: ChatResult): void {
    if (result.outcome !== CallOutcome.Whole || result.firstTokenMs === undefined) {
      throw new Error(`a call failed: ${JSON.stringify(result)}`);
    }
    this.firstToken.recordValue(Math.round(result.firstTokenMs * MICROSECONDS));
    this.total.recordValue(Math.round(result.totalMs * MICROSECONDS));
  }

  read(): CallTimes {
    return {
      firstTokenP50: percentileMs(this.firstToken, 50),
      firstTokenP99: percentileMs(this.firstToken, 99),
      totalP50: percentileMs(this.total, 50),
      totalP99: percentileMs(this.total, 99),
    };
  }
}

/** The command's entry in the bench. */
export const latencyCommand = {
  name: 'latency',
  summary: 'time that router and sidecar add to a call  [--calls N] [--json]',
  run: runLatency,
};

async function runLatency(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      calls: { type: 'string', default: '300' },
      json: { type: 'boolean', default: false },
    },
  });
  const fleet = await ProcessFleet.start({ routers: 1 });
  try {
    const result = await measureLatency(fleet, Number(values.calls));
    console.table({ direct: result.direct, fleet: result.fleet });
    console.log(JSON.stringify(result));
  } finally {
    await fleet.stop();
  }
}

async function measureLatency(fleet: ProcessFleet, calls: number): Promise<LatencyResult> {
  const [workspace] = fleet.site.plan.workspaces;
  const [engine] = fleet.site.modelEngines.values();
  const [url] = fleet.routerUrls;
  if (workspace === undefined || engine === undefined || url === undefined)
    throw new Error('the site is empty');
  const common = {
    key: workspace.key,
    model: fleet.site.plan.model,
    prompt: 'hello',
    outputTokens: OUTPUT_TOKENS,
  };
  const direct = new CallHistograms();
  const routed = new CallHistograms();
  for (let index = -WARM_UP_CALLS; index < calls; index += 1) {
    const directResult = await callChat({ ...common, url: engine.url });
    const routedResult = await callChat({ ...common, url });
    if (index < 0) continue;
    direct.add(directResult);
    routed.add(routedResult);
  }
  return compareTimes(calls, direct.read(), routed.read());
}

function compareTimes(calls: number, direct: CallTimes, fleet: CallTimes): LatencyResult {
  return {
    calls,
    direct,
    fleet,
    addedFirstTokenP50Ms: fleet.firstTokenP50 - direct.firstTokenP50,
    addedFirstTokenP99Ms: fleet.firstTokenP99 - direct.firstTokenP99,
    ratioTotalP50: fleet.totalP50 / direct.totalP50,
    ratioTotalP99: fleet.totalP99 / direct.totalP99,
  };
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS;
}
