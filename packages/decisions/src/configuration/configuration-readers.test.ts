import { expect } from 'chai';
import {
  computePollIntervalMs,
  READERS_PER_DATA_CENTRE,
  selectConfigurationReaders,
} from './configuration-readers.ts';

describe('selectConfigurationReaders', () => {
  const routers = Array.from({ length: 135 }, (_, index) => `router-${index}`);

  it('selects the same few routers from any order of names', () => {
    const readers = selectConfigurationReaders('enna', routers);
    expect(readers.size).to.equal(READERS_PER_DATA_CENTRE);
    expect([...selectConfigurationReaders('enna', [...routers].reverse())]).to.have.members([
      ...readers,
    ]);
  });

  it('replaces only the reader that is lost', () => {
    const readers = selectConfigurationReaders('enna', routers);
    const [lost = ''] = readers;
    const after = selectConfigurationReaders(
      'enna',
      routers.filter((name) => name !== lost),
    );
    expect([...readers].filter((name) => !after.has(name))).to.deep.equal([lost]);
  });
});

describe('computePollIntervalMs', () => {
  it('keeps polls and watches at the design size under the limit of the service', () => {
    const processes = 4_240;
    const polls = (processes * 1_000) / computePollIntervalMs(processes);
    const watches = 7 * READERS_PER_DATA_CENTRE;
    expect(polls + watches).to.be.below(2_000);
  });

  it('finds a revision within the time limit of planned stops in small fleets', () => {
    expect(computePollIntervalMs(20)).to.be.below(3_000);
  });
});
