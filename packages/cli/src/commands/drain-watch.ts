/** `poplarpick drain watch`: follows planned stops until the hosts can be taken out of service. */
import { Command, Flags } from '@oclif/core';
import { ExitCode } from '../exit-code.ts';
import { fetchStatus } from '../operator-client.ts';
import type { ProcessStatus } from '../operator-client.ts';

const SECOND_MS = 1_000;
const POLL_INTERVAL_MS = 500;
const DEFAULT_TIMEOUT_SECONDS = 600;

/** Section of the status of a process about its planned stop. */
interface DrainSection {
  marked: boolean;
  source: string | null;
  inFlight: number;
  unsettled: number;
  done: boolean;
}

/** Progress of the planned stop of one process. */
export interface DrainProgress extends DrainSection {
  host: string;
}

export class DrainWatchCommand extends Command {
  static override description =
    'Follow the planned stop of hosts until nothing is in flight and they can be taken out of service. Exits with 0 when all can be taken out of service, 1 on a timeout or if a host is not marked, 3 if a process cannot be reached.';
  static override enableJsonFlag = true;
  static override flags = {
    at: Flags.string({
      required: true,
      multiple: true,
      description: "base URL of a process's operators address",
    }),
    key: Flags.string({
      required: true,
      env: 'POPLARPICK_OPERATOR_KEY',
      description: 'operator key',
    }),
    'limit-seconds': Flags.integer({
      default: DEFAULT_TIMEOUT_SECONDS,
      description: 'seconds after which to give up',
    }),
    'mark-seconds': Flags.integer({
      default: 10,
      description: 'seconds within which each host must report that it is marked',
    }),
  };

  override async run(): Promise<{ done: boolean; hosts: DrainProgress[] }> {
    const { flags } = await this.parse(DrainWatchCommand);
    const startedAt = performance.now();
    let lastText = '';
    for (;;) {
      const hosts = await Promise.all(flags.at.map((url) => this.readProgress(url, flags.key)));
      const text = hosts.map(formatProgress).join('\n');
      if (text !== lastText) this.log(text);
      lastText = text;
      if (hosts.every((host) => host.done)) return { done: true, hosts };
      const seconds = (performance.now() - startedAt) / SECOND_MS;
      this.checkTimeouts(hosts, seconds, flags['mark-seconds'], flags['limit-seconds']);
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  private checkTimeouts(
    hosts: readonly DrainProgress[],
    seconds: number,
    markTimeoutSeconds: number,
    timeoutSeconds: number,
  ): void {
    const unmarked = hosts.filter((host) => !host.marked).map((host) => host.host);
    if (unmarked.length > 0 && seconds > markTimeoutSeconds)
      this.error(`not marked for a planned stop: ${unmarked.join(', ')}`, {
        exit: ExitCode.Failure,
      });
    if (seconds < timeoutSeconds) return;
    const busy = hosts.filter((host) => !host.done).map((host) => host.host);
    this.error(`still busy: ${busy.join(', ')}`, { exit: ExitCode.Failure });
  }

  private async readProgress(url: string, key: string): Promise<DrainProgress> {
    try {
      return createProgress(await fetchStatus(url, key));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return this.error(`${url}: ${reason}`, { exit: ExitCode.Unreachable });
    }
  }
}

function createProgress(status: ProcessStatus): DrainProgress {
  const section = status['drain'] as DrainSection | undefined;
  if (section === undefined) throw new Error('the process does not report planned stops');
  return { host: status.process.host, ...section };
}

function formatProgress(progress: DrainProgress): string {
  const { host, marked, source, inFlight, unsettled, done } = progress;
  if (!marked) return `${host}: not marked yet`;
  if (done) return `${host}: can be taken out of service`;
  return `${host}: draining (mark from ${source ?? '-'}), ${inFlight} in flight, ${unsettled} answers not yet delivered`;
}
