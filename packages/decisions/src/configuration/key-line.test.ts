import { expect } from 'chai';
import { findKeyLine } from './key-line.ts';

const TEXT = `node = "a"

[listen]
front = "x"
"ready" = "y"

[[pool]]
name = "p"

[[pool]]
name = "q"
limits.most = 3
`;

describe('line of a key', () => {
  it('finds keys at the top, in tables and in arrays of tables', () => {
    expect(findKeyLine(TEXT, ['node'])).to.equal(1);
    expect(findKeyLine(TEXT, ['listen', 'front'])).to.equal(4);
    expect(findKeyLine(TEXT, ['listen', 'ready'])).to.equal(5);
    expect(findKeyLine(TEXT, ['pool', 1, 'name'])).to.equal(11);
    expect(findKeyLine(TEXT, ['pool', 1, 'limits', 'most'])).to.equal(12);
  });

  it('falls back to the table of a missing key, and to undefined without a table', () => {
    expect(findKeyLine(TEXT, ['listen', 'control'])).to.equal(3);
    expect(findKeyLine(TEXT, ['bounds', 'graceS'])).to.equal(undefined);
  });
});
