/** What a process tells operators about itself: named sections, each computed when asked for. */

/** One section of a status: any JSON value. */
export type StatusSection = unknown;

/** Collects the sections of one process. */
export class StatusBoard {
  private readonly sections = new Map<string, () => StatusSection>();

  /** Adds a section; a later one of the same name replaces the earlier. */
  add(name: string, read: () => StatusSection): void {
    this.sections.set(name, read);
  }

  /** All sections as they are now. */
  read(): Record<string, StatusSection> {
    return Object.fromEntries([...this.sections].map(([name, read]) => [name, read()]));
  }
}
