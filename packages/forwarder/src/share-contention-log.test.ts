import { expect } from 'chai';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import { ShareContentionLog } from './share-contention-log.ts';

describe('the log of contention for shares', () => {
  it('names the workspace that is served least of its demand, once a second', () => {
    const lines: string[] = [];
    const contention = new ShareContentionLog({
      log: createLogger({ level: LogLevel.Info, write: (line) => lines.push(line) }),
      listServices: () => [
        { workspace: 'flood', demanded: 5_000, granted: 3_000 },
        { workspace: 'starved', demanded: 600, granted: 100 },
      ],
      readState: () => ({
        nominalTokens: 7_000,
        usageAgeMs: 420,
        usedFraction: 0.98,
        loopUtilization: 0.95,
      }),
    });
    for (const now of [0, 400, 900, 1_000, 1_100]) contention.recordRefusal(now);
    expect(lines).to.have.length(2);
    expect(lines[1]).to.include('event=shares.contended refused=3 demanded=5600 granted=3100');
    expect(lines[1]).to.include('least=starved least_demanded=600 least_granted=100');
    expect(lines[1]).to.include('most=flood most_granted=3000 usage_age_ms=420');
    expect(lines[1]).to.include('endpoints_used=0.98 loop_used=0.95');
  });
});
