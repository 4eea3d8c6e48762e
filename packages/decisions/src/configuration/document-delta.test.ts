import { expect } from 'chai';
import fc from 'fast-check';
import { applyDelta, encodeDelta } from './document-delta.ts';

const section = fc.constantFrom(
  '[a]\n',
  '[a]\nx = 1\n',
  '[[b]]\n',
  '[[b]]\ny = "["\n',
  'z = 2\n',
  '\n',
  '[',
);
const document = fc.array(section, { maxLength: 12 }).map((sections) => sections.join(''));

describe('encodeDelta', () => {
  it('rebuilds any document from any other', () => {
    fc.assert(
      fc.property(document, document, (base, target) => {
        expect(applyDelta(base, encodeDelta(base, target))).to.equal(target);
      }),
      { seed: 6 },
    );
  });

  it('is small where one line of a large document changes', () => {
    const workspaces = Array.from(
      { length: 2_800 },
      (_, index) => `[[workspaces]]\nname = "w${index}"\n`,
    );
    const write = (revision: number) => `revision = ${revision}\n${workspaces.join('')}`;
    const delta = encodeDelta(write(7), write(8));
    expect(delta).to.deep.equal([{ text: 'revision = 8\n' }, { from: 1, count: 2_800 }]);
  });
});
