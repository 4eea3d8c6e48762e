/** What a process uses, as the kernel of the operating system accounts it. */
import { readFileSync } from 'node:fs';

/** Clock ticks of `/proc/PID/stat` per second. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const KIB = 1_024;

/** Processor time and memory of a process at one moment. */
export interface ProcessUsage {
  /** Processor time since its start, in seconds. */
  cpuSeconds: number;
  rssBytes: number;
}

/** Reads the usage of a process. Throws where it has ended. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rss = /^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? '0';
  return { cpuSeconds: ticks / TICKS_PER_SECOND, rssBytes: Number(rss) * KIB };
}
