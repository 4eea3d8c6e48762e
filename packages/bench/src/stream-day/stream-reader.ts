/**
 * Reads one stream as a caller does, over all of its tries, and reports what a caller may not see: each number
 * comes once and in order, from engines of one version, and the stream ends as complete only after its last
 * event. Bytes of an event that isn't complete when a try is broken off don't count.
 */
import { parseEvent } from '@poplarpick/stand-ins/stream-engine/stream-text';
import type { EventMark } from '@poplarpick/stand-ins/stream-engine/stream-text';
import { TryEnd, ViolationKind } from './request-record.ts';
import type { Violation } from './request-record.ts';

/** The stream that a `StreamReader` reads. */
export interface ReadStream {
  name: string;
  events: number;
  isResumable: boolean;
}

const EVENT_END = '\n\n';
const MAX_QUOTED = 80;

/** Reader of one stream. */
export class StreamReader {
  readonly violations: Violation[] = [];
  /** Number of the last event that was read; 0 before the first. */
  last = 0;
  private readonly stream: ReadStream;
  private attempt = '';
  private rest = '';
  private version: string | undefined;
  private run: string | undefined;

  constructor(stream: ReadStream) {
    this.stream = stream;
  }

  /** Begins a try, which goes on after `last`. */
  beginTry(attempt: string): void {
    this.attempt = attempt;
    this.rest = '';
  }

  /** Takes bytes of the answer (one character each). */
  read(text: string): void {
    const texts = (this.rest + text).split(EVENT_END);
    this.rest = texts.pop() ?? '';
    for (const event of texts) this.readEvent(event);
  }

  /** Ends the try. */
  endTry(end: TryEnd): void {
    if (end !== TryEnd.Whole) return;
    if (this.rest !== '')
      this.report(ViolationKind.ForeignBytes, `at the end: ${quote(this.rest)}`);
    const { events } = this.stream;
    if (this.last < events)
      this.report(ViolationKind.EndedEarly, `after ${this.last} of ${events}`);
  }

  private readEvent(text: string): void {
    const event = parseEvent(text);
    if (event === undefined) this.report(ViolationKind.ForeignBytes, quote(text));
    else if (event.stream !== this.stream.name)
      this.report(ViolationKind.ForeignAnswer, `an event of ${event.stream}`);
    else this.check(event);
  }

  private check({ number, version, run }: EventMark): void {
    const { last, stream } = this;
    const order = `${number} of ${run} after ${last} of ${this.run ?? 'none'}`;
    if (number === last) this.report(ViolationKind.Doubled, order);
    if (number < last) this.report(ViolationKind.WentBack, order);
    if (number > last + 1) this.report(ViolationKind.Gap, order);
    if (this.version !== undefined && this.version !== version)
      this.report(ViolationKind.JoinedVersions, `${version} after ${this.version}: ${order}`);
    else if (!stream.isResumable && this.run !== undefined && this.run !== run)
      this.report(ViolationKind.JoinedRuns, order);
    this.last = number;
    this.version = version;
    this.run = run;
  }

  private report(kind: ViolationKind, detail: string): void {
    this.violations.push({
      kind,
      detail,
      request: this.stream.name,
      attempt: this.attempt,
      at: Date.now(),
    });
  }
}

function quote(text: string): string {
  return JSON.stringify(text.slice(0, MAX_QUOTED));
}
