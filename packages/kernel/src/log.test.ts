import { expect } from 'chai';
import { createLogger, LogLevel } from './log.ts';

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
});
