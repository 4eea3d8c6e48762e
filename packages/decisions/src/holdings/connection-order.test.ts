import { expect } from 'chai';
import { ConnectionPhase, pickClosing } from './connection-order.ts';

const NOW = 60_000;

function connection(
  phase: ConnectionPhase,
  ageMs: number,
): { phase: ConnectionPhase; since: number } {
  return { phase, since: NOW - ageMs };
}

describe('the connection that is closed for a new one', () => {
  const served = connection(ConnectionPhase.Serving, 50_000);
  const silent = connection(ConnectionPhase.New, 2_000);
  const idle = connection(ConnectionPhase.Idle, 10_000);
  const fresh = connection(ConnectionPhase.New, 10);
  const receiving = connection(ConnectionPhase.Receiving, 5_000);
  const unread = connection(ConnectionPhase.Unread, 5_000);

  it('is the one that has long sent no head, before any that has been used', () => {
    expect(pickClosing([served, idle, silent, fresh, receiving, unread], NOW)).to.equal(silent);
  });

  it('is the one that is idle for longest, before one on which something stalls', () => {
    const later = connection(ConnectionPhase.Idle, 100);
    expect(pickClosing([receiving, later, idle, unread, fresh], NOW)).to.equal(idle);
  });

  it('is one on which something stalls, before a new one', () => {
    expect(pickClosing([fresh, unread, receiving, served], NOW)).to.equal(receiving);
  });

  it('is a new one if all others are served or go on', () => {
    const going = connection(ConnectionPhase.Receiving, 100);
    expect(pickClosing([served, going, fresh], NOW)).to.equal(fresh);
  });

  it('is none of those that are served', () => {
    expect(pickClosing([served], NOW)).to.equal(undefined);
  });
});
