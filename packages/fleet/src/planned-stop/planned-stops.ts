/** The marks of planned stops that one process knows, from the configuration and the host list. */
import { findStopSource, NO_STOP_MARKS } from '@poplarpick/decisions';
import type { StopMarks, StopSource, StopSubject } from '@poplarpick/decisions';

type MarksListener = (marks: StopMarks) => void;

/** Joins the marks of both sources and tells listeners of changes. */
export class PlannedStops {
  private readonly listeners: MarksListener[] = [];
  private current: StopMarks = NO_STOP_MARKS;

  /** The marks as they are now; a new object at every change. */
  get marks(): StopMarks {
    return this.current;
  }

  /** Calls `listener` now and at every change. */
  onChange(listener: MarksListener): void {
    this.listeners.push(listener);
    listener(this.current);
  }

  /** The source of a subject's mark, if it has one. */
  findSource(subject: StopSubject): StopSource | undefined {
    return findStopSource(this.current, subject);
  }

  setConfigured(names: readonly string[]): void {
    this.setMarks({ ...this.current, configured: new Set(names) });
  }

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
