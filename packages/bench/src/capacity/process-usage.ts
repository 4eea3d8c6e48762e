/** Reads CPU time and memory of a process from Linux's `/proc`. */
import { readFileSync } from 'node:fs';

/** Clock ticks of `/proc/PID/stat` per second. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const KIB = 1_024;

/** CPU time and memory of a process at one moment. */
export interface ProcessUsage {
  /** CPU time since the process started, in seconds. */
  cpuSeconds: number;
  rssBytes: number;
  /** Anonymous resident memory; the rest of the resident set is pages of mapped files. */
  anonBytes: number;
}

/** Reads the usage of a process. Throws if the process has exited. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    rssBytes: readKib(status, 'VmRSS') * KIB,
    anonBytes: readKib(status, 'RssAnon') * KIB,
  };
}

function readKib(status: string, field: string): number {
  return Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? 0);
}
