import { expect } from 'chai';
import { IncarnationEvidence, provableAt } from './incarnation-evidence.ts';

const OPENED_AT = 10_000;

describe('evidence of an incarnation', () => {
  for (const [name, record, expected] of [
    ['nothing', () => undefined, false],
    ['a connection from before', (evidence) => evidence.recordTold(OPENED_AT - 1), false],
    ['a connection from then', (evidence) => evidence.recordTold(OPENED_AT), true],
    ['a list from then', (evidence) => evidence.recordListed(OPENED_AT), false],
    ['a later list', (evidence) => evidence.recordListed(provableAt(OPENED_AT)), true],
  ] satisfies [string, (evidence: IncarnationEvidence) => void, boolean][]) {
    it(`${expected ? 'is' : 'is not'} given by ${name}`, () => {
      const evidence = new IncarnationEvidence();
      record(evidence);
      expect(evidence.covers(OPENED_AT)).to.equal(expected);
      evidence.recordTold(0);
      evidence.recordListed(0);
      expect(evidence.covers(OPENED_AT)).to.equal(expected);
    });
  }
});
