/**
 * Delta encoding of documents by sections; a section begins at each line that opens a TOML table. Most
 * revisions change a few lines of a large document, so a peer that has the earlier revision needs only
 * the text of new sections, and references to the sections that the earlier revision already contains.
 */

/** Consecutive sections, either copied from the base document or given as text. */
export type DeltaPart = { from: number; count: number } | { text: string };

/** Parts in the order of the new document. */
export type DocumentDelta = DeltaPart[];

/** Encodes `target` as a delta against `base`. */
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

/** Applies a delta to the document that it was encoded against. The caller verifies the digest. */
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
