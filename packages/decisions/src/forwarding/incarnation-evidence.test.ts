import { expect } from 'chai';
import { IncarnationEvidence, provableAt } from './incarnation-evidence.ts';

const OPENED_AT = 10_000;
const PERIOD_MS = 200;
const GAP_MS = 1_201;
const PROVED_AT = provableAt(OPENED_AT);

function recordLists(evidence: IncarnationEvidence, from: number, until: number): void {
  for (let at = from; at <= until; at += PERIOD_MS) evidence.recordListed(at);
}

describe('evidence of an incarnation', () => {
  for (const [name, record, expected] of [
    ['nothing', () => undefined, false],
    ['a connection from before', (evidence) => evidence.recordTold(OPENED_AT - 1), false],
    ['a connection from then', (evidence) => evidence.recordTold(OPENED_AT), true],
    ['a list from then', (evidence) => evidence.recordListed(OPENED_AT), false],
    ['a later list alone', (evidence) => evidence.recordListed(PROVED_AT), false],
    ['lists until later', (evidence) => recordLists(evidence, OPENED_AT, PROVED_AT), true],
    [
      'lists until an unrenewed entry has ended',
      (evidence) => recordLists(evidence, OPENED_AT, PROVED_AT - 1),
      false,
    ],
    [
      'lists with a gap',
      (evidence) => {
        recordLists(evidence, OPENED_AT, OPENED_AT + GAP_MS);
        recordLists(evidence, OPENED_AT + 2 * GAP_MS + PERIOD_MS, PROVED_AT);
      },
      false,
    ],
    [
      'lists for as long after a gap',
      (evidence) => {
        recordLists(evidence, OPENED_AT, OPENED_AT + GAP_MS);
        recordLists(evidence, OPENED_AT + 3 * GAP_MS, provableAt(OPENED_AT + 3 * GAP_MS));
      },
      true,
    ],
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
