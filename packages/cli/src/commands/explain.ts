/** `poplarpick explain`: what was done with a request and why. */
import { Args, Command, Flags } from '@oclif/core';
import { ExitCode } from '../exit-code.ts';
import { buildTimeline } from '../explain/timeline.ts';
import type { ProcessTrace, TimelineEntry } from '../explain/timeline.ts';
import { describeReason, fetchTrace, mapConcurrently, walkFleet } from '../operator-client.ts';
import { operatorFlags } from '../operator-flags.ts';

/** The account of one request. */
export interface Explanation {
  request: string;
  workspace: string | null;
  timeline: TimelineEntry[];
  /** Events that processes forgot, since the request had too many. */
  forgotten: number;
  unreachable: string[];
}

export class Explain extends Command {
  static override description =
    'Tell what was done with a request and why, from what the processes remember.';
  static override enableJsonFlag = true;
  static override args = {
    request: Args.string({ required: true, description: 'request id, from x-request-id' }),
  };
  static override flags = {
    ...operatorFlags,
    key: Flags.string({
      required: true,
      env: 'POPLARPICK_OPERATOR_KEY',
      description: 'operator key, or the key of the workspace whose request it is',
    }),
  };

  override async run(): Promise<Explanation> {
    const { args, flags } = await this.parse(Explain);
    const explanation = await this.explain(args.request, flags.at, flags.key);
    this.show(explanation);
    return explanation;
  }

  private async explain(request: string, at: string[], key: string): Promise<Explanation> {
    // A workspace's key reads no status, so only the given processes are asked then.
    const walk = await walkFleet({ at, key });
    const urls = [...new Set([...at, ...walk.statuses.map(({ url }) => url)])];
    const hosts = new Map(walk.statuses.map(({ url, status }) => [url, status.process.host]));
    const unreachable: string[] = [];
    const traces = await mapConcurrently(urls, async (url): Promise<ProcessTrace[]> => {
      try {
        const trace = await fetchTrace(url, key, request);
        return trace === undefined ? [] : [{ host: hosts.get(url) ?? url, trace }];
      } catch (error) {
        unreachable.push(`${url}: ${describeReason(error)}`);
        return [];
      }
    });
    const found = traces.flat();
    if (found.length === 0) this.failWithNothing(request, urls, unreachable);
    return {
      request,
      workspace: found.find(({ trace }) => trace.workspace !== undefined)?.trace.workspace ?? null,
      timeline: buildTimeline(found),
      forgotten: found.reduce((sum, { trace }) => sum + trace.forgotten, 0),
      unreachable,
    };
  }

  private failWithNothing(request: string, urls: string[], unreachable: string[]): never {
    if (unreachable.length === urls.length)
      this.error(unreachable.join('\n'), { exit: ExitCode.Unreachable });
    this.error(`no process remembers ${request}`, { exit: ExitCode.Failure });
  }

  private show({ request, workspace, timeline, forgotten, unreachable }: Explanation): void {
    const [first] = timeline;
    this.log(`${request}  workspace ${workspace ?? '?'}`);
    if (first !== undefined) this.log(`begins ${new Date(first.atMs).toISOString()}`);
    const width = Math.max(...timeline.map(({ host }) => host.length));
    for (const { host, atMs, text } of timeline) {
      const offset = `+${atMs - (first?.atMs ?? atMs)} ms`;
      this.log(`${offset.padStart(10)}  ${host.padEnd(width)}  ${text}`);
    }
    if (forgotten > 0) this.log(`${forgotten} events of the middle were forgotten`);
    for (const line of unreachable) this.logToStderr(`not asked: ${line}`);
  }
}
