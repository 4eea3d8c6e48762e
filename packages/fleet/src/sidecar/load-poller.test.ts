import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import type { Logger } from '@poplarpick/kernel';
import { ConnectionEnd, ScriptedEngine } from '@poplarpick/stand-ins';
import { LoadPoller } from './load-poller.ts';

describe('LoadPoller', () => {
  // Guards against a load that is taken from the answer of a failure.
  it('takes no report from an answer with the status of a failure', async () => {
    const body = JSON.stringify({ running: 0, waiting: 0, stepMs: 0 });
    const head = `HTTP/1.1 503 Scripted\r\nContent-Length: ${body.length}\r\n\r\n`;
    const answer = { bytes: Buffer.from(head + body), end: ConnectionEnd.Close };
    const engine = await new ScriptedEngine(() => answer).start();
    let poller: LoadPoller | undefined;
    const result = await new Promise<string>((resolve) => {
      poller = new LoadPoller({
        url: engine.url,
        clock: new SystemClock(),
        log: { warn: () => resolve('unknown') } as unknown as Logger,
        onReport: () => resolve('reported'),
      });
    });
    await poller?.stop();
    engine.stop();
    expect(result).to.equal('unknown');
  });
});
