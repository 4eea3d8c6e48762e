/**
 * The order of resumptions. A link that was replaced may deliver its resumption after that of the
 * newer link; its list of held requests is out of date, and what was granted since is not on it.
 */
import type { SidecarInstance } from '@poplarpick/decisions';

interface LatestResumption {
  incarnation: string;
  sequence: number;
}

/** Remembers the latest resumption of each sidecar's process. */
export class ResumptionTracker {
  private readonly latest = new Map<string, LatestResumption>();

  /** Takes a resumption in; false where a later one of the same process came before it. */
  accept({ host, incarnation }: SidecarInstance, sequence: number): boolean {
    const previous = this.latest.get(host);
    if (previous?.incarnation === incarnation && previous.sequence >= sequence) return false;
    this.latest.set(host, { incarnation, sequence });
    return true;
  }
}
