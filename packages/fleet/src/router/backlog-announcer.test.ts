import { expect } from 'chai';
import type { QueueLength, QueueKey } from '@poplarpick/decisions';
import { Role } from '@poplarpick/kernel';
import { ManualClock } from '@poplarpick/kernel/testing/manual-clock';
import type { Peer } from '../link/link-hub.ts';
import type { BacklogUpdate } from '../messages.ts';
import { BacklogAnnouncer } from './backlog-announcer.ts';

const QUEUE_KEY: QueueKey = { pool: 'assistant', workspace: 'a', pin: undefined };
const SIDECAR_COUNT = 6;

/** An announcer with one queue of `count` requests, and the count last reported to each sidecar. */
class Setup {
  readonly clock = new ManualClock();
  readonly reportedCounts: number[] = [];
  notifications = 0;
  private count = 0;
  private readonly announcer: BacklogAnnouncer;
  private readonly peers: Peer[];

  constructor() {
    this.announcer = new BacklogAnnouncer({
      clock: this.clock,
      getQueueLength: () => this.count,
      listQueueLengths: (): QueueLength[] =>
        this.count > 0 ? [{ line: QUEUE_KEY, count: this.count }] : [],
      onDue: () => this.announcer.announce(),
    });
    this.announcer.configure(CONFIGURATION as never);
    this.peers = Array.from({ length: SIDECAR_COUNT }, (_, index) => this.createPeer(index));
    this.peers.forEach((peer) => this.announcer.addPeer(peer));
    this.notifications = 0;
  }

  setCount(count: number): void {
    this.count = count;
    this.announcer.recordChange(QUEUE_KEY);
  }

  private createPeer(index: number): Peer {
    const notify = (_method: string, { full, lines }: BacklogUpdate): void => {
      if (!full) this.notifications += 1;
      for (const queue of lines) this.reportedCounts[index] = queue.count;
    };
    const endpoint = `engine-${index}`;
    return { host: endpoint, endpoint, role: Role.Sidecar, link: { notify } } as unknown as Peer;
  }
}

const CONFIGURATION = {
  endpoints: Array.from({ length: SIDECAR_COUNT }, (_, index) => ({
    name: `engine-${index}`,
    kind: 'model',
    models: ['assistant'],
  })),
};

describe('BacklogAnnouncer', () => {
  it('offers a single request to two sidecars, and to all if it still waits after a delay', () => {
    const setup = new Setup();
    setup.setCount(1);
    setup.clock.advance(3);
    expect(setup.notifications).to.equal(2);
    setup.clock.advance(20);
    expect(setup.reportedCounts.filter((count) => count === 1)).to.have.length(SIDECAR_COUNT);
  });

  it('retracts an offer from the sidecars that received it, and notifies no others', () => {
    const setup = new Setup();
    setup.setCount(1);
    setup.clock.advance(3);
    setup.setCount(0);
    setup.clock.advance(200);
    expect(setup.notifications).to.equal(4);
    expect(setup.reportedCounts.filter((count) => count > 0)).to.have.length(0);
  });

  it('reports a long queue to all at once, then only when its length has doubled or halved', () => {
    const setup = new Setup();
    setup.setCount(10);
    setup.clock.advance(3);
    expect(setup.notifications).to.equal(SIDECAR_COUNT);
    for (let count = 11; count < 20; count += 1) {
      setup.setCount(count);
      setup.clock.advance(100);
    }
    expect(setup.notifications).to.equal(SIDECAR_COUNT);
    setup.setCount(20);
    setup.clock.advance(3);
    expect(setup.notifications).to.equal(2 * SIDECAR_COUNT);
  });

  it('never leaves a sidecar misinformed on whether requests wait', () => {
    const setup = new Setup();
    for (const count of [1, 5, 1, 0, 3, 0, 1, 2, 1]) {
      setup.setCount(count);
      setup.clock.advance(60);
      const wrong = setup.reportedCounts.filter((reported) => reported > 0 !== count > 0);
      expect(wrong, `at ${count}`).to.have.length(0);
    }
  });
});
