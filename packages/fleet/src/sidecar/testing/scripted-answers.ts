/** Answers of a scripted engine: their framing, how much of them is sent, and how their connection ends. */
import { ConnectionEnd } from '@poplarpick/stand-ins';
import type { ScriptedAnswer } from '@poplarpick/stand-ins';

/** How the end of a body is told. */
export enum Framing {
  Length = 'length',
  Chunked = 'chunks',
  None = 'no framing',
}

/** How much of an answer is sent, and how its connection ends then. */
export interface Ending {
  name: string;
  isWhole: boolean;
  end: ConnectionEnd;
}

/** All endings of an answer. */
export const ENDINGS: Ending[] = [
  { name: 'whole', isWhole: true, end: ConnectionEnd.Close },
  { name: 'whole, then reset', isWhole: true, end: ConnectionEnd.Reset },
  { name: 'closed early', isWhole: false, end: ConnectionEnd.Close },
  { name: 'reset early', isWhole: false, end: ConnectionEnd.Reset },
  { name: 'died early', isWhole: false, end: ConnectionEnd.Death },
];

/** Renders an answer as HTTP/1.1; with chunks, each part is one. */
export function renderAnswer(
  status: number,
  headers: string[],
  framing: Framing,
  parts: string[],
): string {
  const body = parts.join('');
  const head = [`HTTP/1.1 ${status} Scripted`, ...headers];
  if (framing === Framing.None) return [...head, '', body].join('\r\n');
  if (framing === Framing.Length)
    return [...head, `Content-Length: ${body.length}`, '', body].join('\r\n');
  const chunks = [...parts.filter((part) => part !== ''), ''].map(
    (part) => `${part.length.toString(16)}\r\n${part}\r\n`,
  );
  return [...head, 'Transfer-Encoding: chunked', '', chunks.join('')].join('\r\n');
}

/** Cuts the last `missing` bytes off, unless the answer is to be whole. */
export function createAnswer(
  text: string,
  { isWhole, end }: Ending,
  missing: number,
): ScriptedAnswer {
  return { bytes: Buffer.from(isWhole ? text : text.slice(0, -missing)), end };
}
