/**
 * The difference between two documents, by sections: a line that opens a table begins one. Most
 * revisions change a few lines of a large document, so a peer that has the earlier one needs only the
 * sections that are new, and for the rest the places where they stand in the earlier one.
 */

/** A run of sections: taken from the base, or given as text. */
export type DeltaPart = { from: number; count: number } | { text: string };

/** Sections in the order of the new document. */
export type DocumentDelta = DeltaPart[];

/** Describes `target` by what `base` holds. */
export function encodeDelta(base: string, target: string): DocumentDelta {
  const indexes = indexBySection(splitSections(base));
  const parts: DocumentDelta = [];
  for (const section of splitSections(target)) {
    const index = indexes.get(section);
    if (index === undefined) appendText(parts, section);
    else appendCopy(parts, index);
  }
  return parts;
}

/** Rebuilds the document that `encodeDelta` described; the caller checks its digest. */
export function applyDelta(base: string, delta: DocumentDelta): string {
  const sections = splitSections(base);
  return delta
    .map((part) =>
      'text' in part ? part.text : sections.slice(part.from, part.from + part.count).join(''),
    )
    .join('');
}

function splitSections(text: string): string[] {
  return text.split(/^(?=\[)/m);
}

function indexBySection(sections: readonly string[]): Map<string, number> {
  return new Map(sections.map((section, index) => [section, index]));
}

function appendText(parts: DocumentDelta, text: string): void {
  const last = parts.at(-1);
  if (last !== undefined && 'text' in last) last.text += text;
  else parts.push({ text });
}

function appendCopy(parts: DocumentDelta, index: number): void {
  const last = parts.at(-1);
  if (last !== undefined && 'from' in last && last.from + last.count === index) last.count += 1;
  else parts.push({ from: index, count: 1 });
}
