import { expect } from 'chai';
import { createLogger, LogLevel } from './log.ts';
import { countAllocatedBytes } from './testing/allocated-bytes.ts';

const LINES = 500;

describe('createLogger', () => {
  it('writes one line of key=value pairs for each event', () => {
    const lines: string[] = [];
    const log = createLogger({ host: 'entry-1', write: (line) => lines.push(line) });
    log.info({ event: 'request.failed', request: 'r-1', message: 'two words\nand "quotes"' });
    expect(lines).to.have.length(1);
    expect(lines[0]).to.match(
      /^ts=\S+ level=info host=entry-1 event=request\.failed request=r-1 message="two words\\\\nand \\"quotes\\""\n$/,
    );
  });

  it('does not write events below its level', () => {
    const lines: string[] = [];
    const log = createLogger({ level: LogLevel.Warn, write: (line) => lines.push(line) });
    log.info({ event: 'quiet' });
    log.warn({ event: 'loud' });
    expect(lines.map((line) => /event=(\S+)/.exec(line)?.[1])).to.deep.equal(['loud']);
  });

  // Guards against lines that cost a router more garbage than the request that they tell of.
  it('writes a line of thirty fields with less than 12 KB of garbage', async () => {
    const log = createLogger({ write: () => undefined });
    const names = Array.from({ length: 30 }, (_, index) => `field_${index}`);
    const fields = Object.fromEntries(names.map((name, index) => [name, index * 17]));
    const writeLines = (): void => {
      for (let line = 0; line < LINES; line += 1) log.info({ event: 'call.ended', ...fields });
    };
    writeLines();
    const bytes = await countAllocatedBytes(writeLines);
    expect(bytes / LINES).to.be.lessThan(12_000);
  });
});
