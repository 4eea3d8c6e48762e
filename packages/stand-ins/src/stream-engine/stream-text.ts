/**
 * The text of the events and plain answers of a `StreamEngine`. Each names the request, its number, the
 * software version and the run that made it, so that a reader can tell what belongs together.
 */

/** What an event says of itself. */
export interface EventMark {
  /** Name of the stream that the event belongs to. */
  stream: string;
  /** Number of the event, from 1. */
  number: number;
  /** Number of the stream's last event. */
  total: number;
  /** Software version of the engine. */
  version: string;
  /** The run that made the event: the engine, its start and the request. */
  run: string;
}

/** What a plain answer says of itself. */
export interface AnswerMark {
  /** Name of the request. */
  stream: string;
  run: string;
}

const EVENT = /^id: (\d+)\ndata: (\S+) (\d+) of (\d+) (\S+) (\S+) (\.*);$/;
const ANSWER = /^answer (\S+) (\S+) (\d+) (\.*);$/;

/** Returns the bytes of an event, padded. */
export function formatEvent(
  { stream, number, total, version, run }: EventMark,
  padding: number,
): string {
  return `id: ${number}\ndata: ${stream} ${number} of ${total} ${version} ${run} ${'.'.repeat(padding)};\n\n`;
}

/** Parses an event without the empty line that ends it; undefined if it isn't a whole event of an engine. */
export function parseEvent(text: string): EventMark | undefined {
  const match = EVENT.exec(text);
  if (match === null || match[1] !== match[3]) return undefined;
  const [, id = '', stream = '', , total = '', version = '', run = ''] = match;
  return { stream, number: Number(id), total: Number(total), version, run };
}

/** Returns the body of a plain answer, padded. */
export function formatAnswer({ stream, run }: AnswerMark, padding: number): string {
  return `answer ${stream} ${run} ${padding} ${'.'.repeat(padding)};`;
}

/** Parses the body of a plain answer; undefined if it isn't the whole body of an engine's answer. */
export function parseAnswer(text: string): AnswerMark | undefined {
  const match = ANSWER.exec(text);
  if (match?.[4]?.length !== Number(match?.[3])) return undefined;
  return { stream: match[1] ?? '', run: match[2] ?? '' };
}
