/**
 * Reads from the operating system what a process holds: the most memory that it has had so far, and its open
 * descriptors. Both come from `/proc`, so the process itself need not answer.
 */
import { readdirSync, readFileSync } from 'node:fs';

const SAMPLE_PERIOD_MS = 50;
const KIB_PER_MIB = 1_024;

/** The most that a process has held so far. */
export interface ProcessPeak {
  /** Resident memory, in MiB. */
  memoryMb: number;
  descriptors: number;
}

/** Watches one process from `start` to `stop`. */
export class ProcessGauge {
  private readonly pid: number;
  private readonly timer: NodeJS.Timeout;
  private readonly highest: ProcessPeak = { memoryMb: 0, descriptors: 0 };

  private constructor(pid: number) {
    this.pid = pid;
    this.timer = setInterval(() => this.sample(), SAMPLE_PERIOD_MS);
  }

  static start(pid: number): ProcessGauge {
    return new ProcessGauge(pid);
  }

  /** The peak so far. */
  get peak(): ProcessPeak {
    this.sample();
    return { ...this.highest };
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    const { highest } = this;
    try {
      const descriptors = readdirSync(`/proc/${this.pid}/fd`).length;
      highest.descriptors = Math.max(highest.descriptors, descriptors);
      // The kernel keeps the peak of the resident memory itself, so none is missed between two samples.
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const kib = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
      highest.memoryMb = Math.max(highest.memoryMb, Math.round(kib / KIB_PER_MIB));
    } catch {
      // The process has ended; the test that watches it says so.
    }
  }
}
