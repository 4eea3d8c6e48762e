/** `poplarpick explain`: explains how a request was handled and why. */
import { Args, Command, Flags } from '@oclif/core';
import { sum } from '@poplarpick/load';
import { ExitCode } from '../exit-code.ts';
import { readLogFile } from '../explain/log-record.ts';
import type { LogRecord } from '../explain/log-record.ts';
import { isRelevantRecord, buildLogTimeline } from '../explain/log-timeline.ts';
import type { LogTimeline } from '../explain/log-timeline.ts';
import { buildTraceTimeline } from '../explain/trace-timeline.ts';
import type { ProcessTrace, TraceTimelineEntry } from '../explain/trace-timeline.ts';
import {
  describeRequestError,
  fetchRequestTrace,
  mapConcurrently,
  crawlFleet,
} from '../operator-client.ts';
import { operatorFlags } from '../operator-flags.ts';
import { describeFileError } from '../load-file.ts';

/** Timeline of one request from the traces of running processes, as `--json` prints it. */
export interface Explanation {
  request: string;
  workspace: string | null;
  timeline: TraceTimelineEntry[];
  /** Number of events that processes dropped because the request exceeded the event limit. */
  forgotten: number;
  unreachable: string[];
}

/** Properties of a timeline entry that are printed. */
type PrintableEntry = Pick<TraceTimelineEntry, 'host' | 'atMs' | 'text'>;

const UNKNOWN_END_MESSAGE =
  'Its end is not in these logs. If it was sent, it may have run: the router may have been killed meanwhile.';

export class Explain extends Command {
  static override description =
    'Explain how a request was handled and why, from the traces of running processes or from log files.';
  static override enableJsonFlag = true;
  static override args = {
    request: Args.string({ required: true, description: 'request id, from x-request-id' }),
  };
  static override flags = {
    at: Flags.string({ multiple: true, description: operatorFlags.at.description ?? '' }),
    log: Flags.string({
      multiple: true,
      description: 'log file of a process; if given, no running process is queried',
    }),
    key: Flags.string({
      env: 'POPLARPICK_OPERATOR_KEY',
      description: 'operator key, or the key of the workspace whose request it is',
    }),
  };

  override async run(): Promise<Explanation | LogTimeline> {
    const { args, flags } = await this.parse(Explain);
    if (flags.log !== undefined) return this.explainFromLogs(args.request, flags.log);
    if (flags.key === undefined || flags.at === undefined) {
      this.error('either --log or both --at and --key are needed', { exit: ExitCode.Usage });
    }
    const explanation = await this.explainFromProcesses(args.request, flags.at, flags.key);
    this.printExplanation(explanation);
    return explanation;
  }

  private async explainFromLogs(request: string, files: readonly string[]): Promise<LogTimeline> {
    const isWanted = (record: LogRecord): boolean => isRelevantRecord(record, request);
    const records: LogRecord[] = [];
    for (const file of files) {
      try {
        records.push(...(await readLogFile(file, isWanted)));
      } catch (error) {
        this.error(describeFileError(error, file), { exit: ExitCode.Usage });
      }
    }
    const timeline = buildLogTimeline(request, records);
    if (timeline === undefined)
      this.error(`no log line names ${request}`, { exit: ExitCode.Failure });
    this.printEntries(request, timeline.lines);
    this.log(timeline.conclusion ?? UNKNOWN_END_MESSAGE);
    return timeline;
  }

  private async explainFromProcesses(
    request: string,
    seedUrls: string[],
    key: string,
  ): Promise<Explanation> {
    // The key of a workspace gives no access to the status, so then only the given processes are queried.
    const snapshot = await crawlFleet({ seedUrls, key });
    const urls = [...new Set([...seedUrls, ...snapshot.statuses.map(({ url }) => url)])];
    const hostsByUrl = new Map(
      snapshot.statuses.map(({ url, status }) => [url, status.process.host]),
    );
    const unreachable: string[] = [];
    const traces = await mapConcurrently(urls, async (url): Promise<ProcessTrace[]> => {
      try {
        const trace = await fetchRequestTrace(url, key, request);
        return trace === undefined ? [] : [{ host: hostsByUrl.get(url) ?? url, trace }];
      } catch (error) {
        unreachable.push(`${url}: ${describeRequestError(error)}`);
        return [];
      }
    });
    const foundTraces = traces.flat();
    if (foundTraces.length === 0) this.failNotFound(request, urls, unreachable);
    return {
      request,
      workspace:
        foundTraces.find(({ trace }) => trace.workspace !== undefined)?.trace.workspace ?? null,
      timeline: buildTraceTimeline(foundTraces),
      forgotten: sum(foundTraces.map(({ trace }) => trace.forgotten)),
      unreachable,
    };
  }

  private failNotFound(request: string, urls: string[], unreachable: string[]): never {
    if (unreachable.length === urls.length)
      this.error(unreachable.join('\n'), { exit: ExitCode.Unreachable });
    this.error(`no process has a trace of ${request}`, { exit: ExitCode.Failure });
  }

  private printExplanation({
    request,
    workspace,
    timeline,
    forgotten,
    unreachable,
  }: Explanation): void {
    this.printEntries(`${request}  workspace ${workspace ?? '?'}`, timeline);
    if (forgotten > 0) this.log(`${forgotten} events in the middle were dropped`);
    for (const line of unreachable) this.logToStderr(`not reached: ${line}`);
  }

  private printEntries(title: string, timeline: readonly PrintableEntry[]): void {
    const [first] = timeline;
    this.log(title);
    if (first !== undefined) this.log(`begins ${new Date(first.atMs).toISOString()}`);
    const width = Math.max(0, ...timeline.map(({ host }) => host.length));
    for (const { host, atMs, text } of timeline) {
      const offset = `+${atMs - (first?.atMs ?? atMs)} ms`;
      this.log(`${offset.padStart(10)}  ${host.padEnd(width)}  ${text}`);
    }
  }
}
