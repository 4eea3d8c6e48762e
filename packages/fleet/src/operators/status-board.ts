/** Status of a process for operators, in named sections that are computed when the status is read. */

/** Content of one section; any JSON value. */
export type StatusSection = unknown;

/** Registry of the status sections of one process. */
export class StatusBoard {
  private readonly sections = new Map<string, () => StatusSection>();

  /** Adds a section, or replaces the one of the same name. */
  add(name: string, read: () => StatusSection): void {
    this.sections.set(name, read);
  }

  /** Computes all sections, by name. */
  read(): Record<string, StatusSection> {
    return Object.fromEntries([...this.sections].map(([name, read]) => [name, read()]));
  }
}
