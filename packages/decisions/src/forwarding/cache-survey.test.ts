import { expect } from 'chai';
import { CacheSurvey } from './cache-survey.ts';
import type { CacheFinding } from './cache-survey.ts';
import type { Endpoint } from './endpoint.ts';
import { originOf } from './stream-origin.ts';

const HORIZON_MS = 1_000;
const HASH = 7;

function createEndpoint(id: string, version: string, startedAt = 1): Endpoint {
  const place = { pool: 'p', address: '10.0.0.1:80', dataCentre: 'z' };
  return { id, version, startedAt, ...place, slots: 8, isDraining: false };
}

const FIRST = createEndpoint('e1', 'v1');
const SECOND = createEndpoint('e2', 'v2');

describe('a survey of cached prompts', () => {
  let listed: Endpoint[];
  let survey: CacheSurvey;

  beforeEach(() => {
    listed = [FIRST, SECOND];
    survey = new CacheSurvey({ endpoints: () => listed, startedAt: 0 });
  });

  function tell(endpoint: Endpoint, ...hashes: number[]): void {
    survey.recordListing(
      endpoint,
      hashes.map((hash) => ({ hash })),
      originOf(endpoint),
      0,
    );
  }

  function find(now = 0, isListWhole = true): CacheFinding {
    return survey.find({ hash: HASH, horizonMs: HORIZON_MS, isListWhole, now });
  }

  function depart(endpoint: Endpoint): void {
    listed = listed.filter((other) => other !== endpoint);
    survey.recordDeparted(endpoint);
  }

  it('proves an origin once every endpoint of another origin has told its list', () => {
    tell(FIRST, HASH);
    expect(find()).to.deep.equal({ origin: undefined, mayBeFoundLater: true, untold: 1 });
    tell(SECOND);
    expect(find().origin).to.deep.equal({ pool: 'p', version: 'v1' });
    expect(find(HORIZON_MS + 1).origin).to.equal(undefined);
  });

  it('proves an origin though another endpoint of it has told nothing', () => {
    listed.push(createEndpoint('e3', 'v1'));
    tell(FIRST, HASH);
    tell(SECOND);
    expect(find().origin).to.deep.equal({ pool: 'p', version: 'v1' });
  });

  it('proves nothing until the list of endpoints is whole', () => {
    tell(FIRST, HASH);
    tell(SECOND);
    expect(find(0, false)).to.deep.equal({ origin: undefined, mayBeFoundLater: true, untold: 0 });
  });

  it('proves nothing where endpoints of two origins have the prompt', () => {
    tell(FIRST, HASH);
    tell(SECOND, HASH);
    expect(find()).to.deep.equal({ origin: undefined, mayBeFoundLater: false, untold: 0 });
  });

  it('proves nothing without the list of an endpoint that tells none', () => {
    tell(FIRST, HASH);
    survey.recordEnded(SECOND);
    expect(survey.awaits(SECOND)).to.equal(false);
    expect(find()).to.deep.equal({ origin: undefined, mayBeFoundLater: false, untold: 1 });
  });

  it('proves nothing without the list of an endpoint that has gone, unless it told one before', () => {
    tell(FIRST, HASH);
    depart(SECOND);
    expect(find()).to.deep.equal({ origin: undefined, mayBeFoundLater: false, untold: 1 });
    tell(SECOND);
    expect(find().origin).to.deep.equal({ pool: 'p', version: 'v1' });
  });

  it('proves nothing without the list of an endpoint that has started again', () => {
    const restarted = createEndpoint('e2', 'v2', 2);
    tell(FIRST, HASH);
    listed = [FIRST, restarted];
    survey.recordDeparted(SECOND);
    tell(restarted);
    expect(find()).to.include({ origin: undefined, untold: 1 });
  });
});
