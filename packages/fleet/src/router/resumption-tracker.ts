/**
 * Rejects stale resumptions. A replaced link may deliver its resumption after that of the newer link.
 * Its list of held requests is then out of date: requests that were granted since are missing from it
 * and would be treated as lost.
 */
import type { SidecarInstance } from '@poplarpick/decisions';

interface LatestResumption {
  incarnation: string;
  sequence: number;
}

/** Tracks the latest resumption of each sidecar. */
export class ResumptionTracker {
  private readonly latest = new Map<string, LatestResumption>();

  /** Records a resumption; returns false if it is not newer than the last one of its incarnation. */
  accept({ host, incarnation }: SidecarInstance, sequence: number): boolean {
    const previous = this.latest.get(host);
    if (previous?.incarnation === incarnation && previous.sequence >= sequence) return false;
    this.latest.set(host, { incarnation, sequence });
    return true;
  }
}
