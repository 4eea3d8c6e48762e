/**
 * `latency`: measures the latency that router and sidecar add to a call, compared with a direct call to
 * the same stand-in. Both kinds of calls alternate, so that they run under the same machine load.
 */
import { parseArgs } from 'node:util';
import { EndpointKind } from '@poplarpick/decisions';
import { callChat, CallOutcome } from '@poplarpick/load';
import type { ChatCall, ChatResult } from '@poplarpick/load';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

const OUTPUT_TOKENS = 16;
const WARM_UP_CALLS = 20;
const BACKGROUND_TOKENS = 64;
const MICROSECONDS_PER_MS = 1_000;

/** Percentiles of one kind of call, in milliseconds. */
interface CallTimes {
  firstTokenP50: number;
  firstTokenP99: number;
  totalP50: number;
  totalP99: number;
  /** Time between two tokens. */
  tokenGapP50: number;
  tokenGapP99: number;
}

/** Result as the command prints it. */
interface LatencyResult {
  calls: number;
  direct: CallTimes;
  fleet: CallTimes;
  addedFirstTokenP50Ms: number;
  addedFirstTokenP99Ms: number;
  /** Increase of the time between two tokens through the fleet. */
  addedTokenGapP99Ms: number;
  /** Share of the slots that background requests occupy. */
  load: number;
  ratioTotalP50: number;
  ratioTotalP99: number;
}

/** Histograms of one kind of call, in microseconds. */
class CallHistograms {
  private readonly firstToken = build();
  private readonly total = build();
  private readonly tokenGap = build();

  /** Makes a call and records its times, unless it is a warm-up call. */
  async recordCall(call: ChatCall, isWarmUp: boolean): Promise<void> {
    let lastTokenAt: number | undefined;
    const gaps: number[] = [];
    const onToken = (): void => {
      const now = performance.now();
      if (lastTokenAt !== undefined) gaps.push(now - lastTokenAt);
      lastTokenAt = now;
    };
    const result = await callChat({ ...call, onToken });
    if (isWarmUp) return;
    this.recordResult(result);
    for (const gap of gaps) this.tokenGap.recordValue(Math.round(gap * MICROSECONDS_PER_MS));
  }

  private recordResult(result: ChatResult): void {
    if (result.outcome !== CallOutcome.Complete || result.firstTokenMs === undefined) {
      throw new Error(`a call failed: ${JSON.stringify(result)}`);
    }
    this.firstToken.recordValue(Math.round(result.firstTokenMs * MICROSECONDS_PER_MS));
    this.total.recordValue(Math.round(result.totalMs * MICROSECONDS_PER_MS));
  }

  summarize(): CallTimes {
    return {
      firstTokenP50: percentileMs(this.firstToken, 50),
      firstTokenP99: percentileMs(this.firstToken, 99),
      totalP50: percentileMs(this.total, 50),
      totalP99: percentileMs(this.total, 99),
      tokenGapP50: percentileMs(this.tokenGap, 50),
      tokenGapP99: percentileMs(this.tokenGap, 99),
    };
  }
}

/** Entry of the `latency` command. */
export const latencyCommand = {
  name: 'latency',
  summary: 'time that router and sidecar add to a call  [--calls N] [--load SHARE]',
  run: runLatency,
};

async function runLatency(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      calls: { type: 'string', default: '300' },
      load: { type: 'string', default: '0' },
    },
  });
  const fleet = await ProcessFleet.start({ routers: 1, direct: true });
  try {
    const result = await measureLatency(fleet, Number(values.calls), Number(values.load));
    console.table({ direct: result.direct, fleet: result.fleet });
    console.log(JSON.stringify(result));
  } finally {
    await fleet.stop();
  }
}

async function measureLatency(
  fleet: ProcessFleet,
  calls: number,
  load: number,
): Promise<LatencyResult> {
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
  const stop = new AbortController();
  const background = runBackgroundLoad(fleet, load, stop.signal);
  for (let index = -WARM_UP_CALLS; index < calls; index += 1) {
    await direct.recordCall({ ...common, url: engine.url }, index < 0);
    await routed.recordCall({ ...common, url }, index < 0);
  }
  stop.abort();
  await background;
  return compareTimes(calls, load, direct.summarize(), routed.summarize());
}

/** Occupies a share of the slots with other requests until the signal is aborted. */
async function runBackgroundLoad(
  fleet: ProcessFleet,
  load: number,
  signal: AbortSignal,
): Promise<void> {
  const { endpoints, workspaces, model } = fleet.site.plan;
  const models = endpoints.filter(({ kind }) => kind === EndpointKind.Model);
  const slots = models.reduce((sum, endpoint) => sum + endpoint.slots, 0);
  const key = workspaces.at(-1)?.key ?? '';
  const [url = ''] = fleet.routerUrls;
  const sendContinuously = async (): Promise<void> => {
    while (!signal.aborted)
      await callChat({ url, key, model, prompt: 'other', outputTokens: BACKGROUND_TOKENS });
  };
  await Promise.all(Array.from({ length: Math.round(slots * load) }, sendContinuously));
}

function compareTimes(
  calls: number,
  load: number,
  direct: CallTimes,
  fleet: CallTimes,
): LatencyResult {
  return {
    calls,
    direct,
    fleet,
    addedFirstTokenP50Ms: fleet.firstTokenP50 - direct.firstTokenP50,
    addedFirstTokenP99Ms: fleet.firstTokenP99 - direct.firstTokenP99,
    addedTokenGapP99Ms: fleet.tokenGapP99 - direct.tokenGapP99,
    load,
    ratioTotalP50: fleet.totalP50 / direct.totalP50,
    ratioTotalP99: fleet.totalP99 / direct.totalP99,
  };
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}
