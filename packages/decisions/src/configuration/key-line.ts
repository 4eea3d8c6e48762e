/** Finds the line of a TOML document that sets a key, so that errors can refer to it. */

const TABLE_HEADER = /^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?/;
const KEY_ASSIGNMENT = /^\s*((?:[\w-]+|"[^"]*")(?:\s*\.\s*(?:[\w-]+|"[^"]*"))*)\s*=/;

/**
 * Number of the line, from 1, that sets the key at `path`, or else of the nearest enclosing key or
 * table; undefined if the document contains none of them.
 */
export function findKeyLine(text: string, path: readonly PropertyKey[]): number | undefined {
  const lines = indexKeys(text);
  for (let length = path.length; length > 0; length -= 1) {
    const line = lines.get(joinPath(path.slice(0, length)));
    if (line !== undefined) return line;
  }
  return undefined;
}

/** Line numbers of all tables and keys by path. */
function indexKeys(text: string): Map<string, number> {
  const lines = new Map<string, number>();
  const counts = new Map<string, number>();
  let table: string[] = [];
  text.split('\n').forEach((content, index) => {
    const header = TABLE_HEADER.exec(content);
    if (header !== null) {
      table = splitKeys(header[2] ?? '');
      if (header[1] === '[[') table = [...table, nextArrayIndex(counts, table)];
      lines.set(joinPath(table), index + 1);
      return;
    }
    const assignment = KEY_ASSIGNMENT.exec(content);
    if (assignment === null) return;
    const path = joinPath([...table, ...splitKeys(assignment[1] ?? '')]);
    if (!lines.has(path)) lines.set(path, index + 1);
  });
  return lines;
}

function nextArrayIndex(counts: Map<string, number>, table: readonly string[]): string {
  const name = joinPath(table);
  const index = counts.get(name) ?? 0;
  counts.set(name, index + 1);
  return String(index);
}

function splitKeys(keys: string): string[] {
  return keys.split('.').map((key) => key.trim().replaceAll('"', ''));
}

function joinPath(path: readonly PropertyKey[]): string {
  return path.map(String).join('.');
}
