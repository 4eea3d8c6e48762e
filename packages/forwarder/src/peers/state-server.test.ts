import { expect } from 'chai';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { HoldingKind } from '@poplarpick/decisions';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { findFreePort } from '@poplarpick/stand-ins';
import { ProcessListeners } from '@poplarpick/fleet/listening/process-listeners';
import type { RouterState } from '../router-state.ts';
import { StateServer, WHERE_PATH } from './state-server.ts';

const HOST = '127.0.0.1';
const BUDGET_BYTES = 10_000_000;
const QUESTION_BYTES = 60_000;
const READ_TIMEOUT_MS = 2_000;
const POLL_PERIOD_MS = 20;

describe('the server of the state', () => {
  it('charges what has come of a question to the memory of the process', async () => {
    const port = await findFreePort();
    const clock = new SystemClock();
    const log = createLogger({ level: LogLevel.Silent });
    const listeners = new ProcessListeners({ clock, log, budgetBytes: BUDGET_BYTES });
    const server = new StateServer({
      address: `${HOST}:${port}`,
      guard: listeners.guard({ name: 'peers', maxConnections: 10 }),
      state: { clock, listeners } as RouterState,
      explainer: { explain: () => expect.fail('the question is not whole') },
      onSuspension: () => undefined,
    });
    await server.open();
    const socket = connect(port, HOST);
    try {
      const head = `POST ${WHERE_PATH} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
      socket.write(head + '1\r\na\r\n'.repeat(QUESTION_BYTES));
      const heldBytes = (): number => listeners.budget.heldOf(HoldingKind.AwaitedBody);
      const until = clock.monotonic() + READ_TIMEOUT_MS;
      while (heldBytes() < QUESTION_BYTES && clock.monotonic() < until) await sleep(POLL_PERIOD_MS);
      expect(heldBytes()).to.be.at.least(QUESTION_BYTES);
    } finally {
      socket.destroy();
      server.close();
    }
  });
});
