/** Marks of planned stops, from the configuration and the host list. */
import { findStopSource, NO_STOP_MARKS } from '@poplarpick/decisions';
import type { StopMarks, StopSource, StopSubject } from '@poplarpick/decisions';

type MarksListener = (marks: StopMarks) => void;

/** Combines the marks of both sources and notifies listeners of changes. */
export class PlannedStops {
  private readonly listeners: MarksListener[] = [];
  private current: StopMarks = NO_STOP_MARKS;

  /** The current marks; a new object after every change. */
  get marks(): StopMarks {
    return this.current;
  }

  /** Calls `listener` now and after every change. */
  onChange(listener: MarksListener): void {
    this.listeners.push(listener);
    listener(this.current);
  }

  /** Source of the mark of a subject; undefined if it is not marked. */
  findSource(subject: StopSubject): StopSource | undefined {
    return findStopSource(this.current, subject);
  }

  /** Sets the hosts and endpoints that the configuration lists as planned stops. */
  setConfigured(names: readonly string[]): void {
    this.setMarks({ ...this.current, configured: new Set(names) });
  }

  /** Sets the hosts that the host list reports as leaving. */
  setLeaving(hosts: readonly string[]): void {
    this.setMarks({ ...this.current, leaving: new Set(hosts) });
  }

  private setMarks(marks: StopMarks): void {
    const { configured, leaving } = this.current;
    const isSame =
      haveSameNames(configured, marks.configured) && haveSameNames(leaving, marks.leaving);
    if (isSame) return;
    this.current = marks;
    for (const listener of this.listeners) listener(marks);
  }
}

function haveSameNames(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((name) => b.has(name));
}
