import { globSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { Metric } from './metrics.ts';
import { RepairKind } from './repair.ts';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

function readPage(name: string): string {
  return readFileSync(`${ROOT}docs/operators/${name}`, 'utf8');
}

/** Names in the first column of a page's tables. */
function listNames(page: string): Set<string> {
  return new Set([...page.matchAll(/^\| `([^`]+)`/gm)].map(([, name]) => name ?? ''));
}

/** Events that the code logs: whole names, and the beginnings of names that end in a value. */
function listEvents(): { names: Set<string>; prefixes: Set<string> } {
  const files = globSync('{packages/{kernel,fleet,cli,forwarder},platform}/src/**/*.ts', {
    cwd: ROOT,
  });
  const names = new Set<string>();
  const prefixes = new Set<string>();
  for (const file of files.filter((name) => !name.endsWith('.test.ts'))) {
    const text = readFileSync(ROOT + file, 'utf8');
    for (const [, value = ''] of text.matchAll(/\bevent: ([^,}]+)/g)) {
      for (const [, name = ''] of value.matchAll(/'([a-z_]+\.[a-z_.]+)'/g)) names.add(name);
      for (const [, prefix = ''] of value.matchAll(/`([a-z_.]+)\$/g)) prefixes.add(prefix);
    }
  }
  return { names, prefixes };
}

describe("the operators' pages", () => {
  it('say what every log event means', () => {
    const { names, prefixes } = listEvents();
    const documented = [...listNames(readPage('log-events.md'))];
    expect(documented).to.include.members([...names]);
    for (const prefix of prefixes)
      expect(documented.some((name) => name.startsWith(prefix))).to.equal(true, prefix);
    expect(documented).to.include.members(
      Object.values(RepairKind).map((kind) => `repair.${kind}`),
    );
  });

  it('have a line for every metric', () => {
    const documented = [...listNames(readPage('metrics.md'))];
    expect(documented).to.include.members(Object.values(Metric));
  });
});
