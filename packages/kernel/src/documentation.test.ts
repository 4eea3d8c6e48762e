import { globSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { Metric } from './metrics.ts';
import { RepairKind } from './repair.ts';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

function readPage(name: string): string {
  return readFileSync(`${ROOT}docs/operators/${name}`, 'utf8');
}

/** Returns the names in the first column of a page's tables. */
function listNames(page: string): Set<string> {
  return new Set([...page.matchAll(/^\| `([^`]+)`/gm)].map(([, name]) => name ?? ''));
}

/** Finds the log events in the source: literal names, and the literal prefixes of templated names. */
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

describe('operator documentation', () => {
  it('describes every log event', () => {
    const { names, prefixes } = listEvents();
    const documented = [...listNames(readPage('log-events.md'))];
    expect(documented).to.include.members([...names]);
    for (const prefix of prefixes)
      expect(documented.some((name) => name.startsWith(prefix))).to.equal(true, prefix);
    expect(documented).to.include.members(
      Object.values(RepairKind).map((kind) => `repair.${kind}`),
    );
  });

  it('describes every metric', () => {
    const documented = [...listNames(readPage('metrics.md'))];
    expect(documented).to.include.members(Object.values(Metric));
  });
});
