import { existsSync, globSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { parseRouterSettings, parseSidecarSettings } from '@poplarpick/decisions';
import { ErrorCode } from '@poplarpick/kernel';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const LINK_PATTERN = /\]\((?!https?:)([^)#\s]+)(#[^)]*)?\)/g;

function listPages(): string[] {
  return ['README.md', ...globSync('{docs,release-notes}/**/*.md', { cwd: ROOT })];
}

function findBrokenLinks(page: string): string[] {
  const text = readFileSync(join(ROOT, page), 'utf8');
  const targets = [...text.matchAll(LINK_PATTERN)].map((match) => match[1] ?? '');
  return targets
    .filter((target) => !existsSync(join(ROOT, dirname(page), target)))
    .map((target) => `${page}: ${target}`);
}

describe('the documents', () => {
  it('link only to existing files', () => {
    expect(listPages().flatMap(findBrokenLinks)).to.deep.equal([]);
  });

  it('list every operators page and design note in the index', () => {
    const index = readFileSync(join(ROOT, 'docs/README.md'), 'utf8');
    const pages = globSync('{design,operators}/*.md', { cwd: join(ROOT, 'docs') });
    const missing = pages.filter((page) => !index.includes(`(${page})`));
    expect(missing).to.deep.equal([]);
  });

  it('show settings that a process accepts', () => {
    const page = readFileSync(join(ROOT, 'docs/operators/install.md'), 'utf8');
    const blocks = [...page.matchAll(/```toml\n([^`]*)```/g)].map((match) => match[1] ?? '');
    const router = blocks.find((block) => block.includes('[callers]')) ?? '';
    const endpoint = blocks.find((block) => block.includes('[endpoint]')) ?? '';
    expect(parseRouterSettings(router, 'install.md').host).to.equal('entry-1');
    const common = router.replace(/\[callers\][^[]*/, '').replace(/\[links\][^[]*/, '');
    expect(parseSidecarSettings(common + endpoint, 'install.md').endpoint.name).to.equal('model-1');
  });

  it('describe every error code for callers', () => {
    const page = readFileSync(join(ROOT, 'docs/callers.md'), 'utf8');
    const missing = Object.values(ErrorCode).filter((code) => !page.includes(`\`${code}\``));
    expect(missing).to.deep.equal([]);
  });
});
