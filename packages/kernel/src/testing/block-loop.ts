/** Keeps the event loop from doing anything, as a process does that is out of processor time. */
export function blockLoop(durationMs: number): void {
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt);
}
