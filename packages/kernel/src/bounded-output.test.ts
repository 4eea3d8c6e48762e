import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const MODULE = fileURLToPath(new URL('./bounded-output.ts', import.meta.url));

/** Writes 40 MB of lines to a pipe that nobody reads, then reports drops, memory and time on stderr. */
const WRITER_SCRIPT = `
import { BoundedOutput } from ${JSON.stringify(MODULE)};
const output = new BoundedOutput();
const line = 'x'.repeat(199) + '\\n';
const startedAt = performance.now();
let written = 0;
const timer = setInterval(() => {
  for (let turn = 0; turn < 2_000; turn += 1) output.write(line);
  written += 2_000;
  if (written < 200_000) return;
  clearInterval(timer);
  const { rss } = process.memoryUsage();
  const elapsedMs = performance.now() - startedAt;
  process.stderr.write(JSON.stringify({ dropped: output.dropped, rss, elapsedMs }));
  process.exit(0);
}, 1);
`;

describe('bounded output', () => {
  it('neither blocks nor grows when nobody reads it, and counts the dropped lines', async () => {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', '--input-type=module', '--eval', WRITER_SCRIPT],
      { stdio: ['ignore', 'pipe', 'pipe'] },
    );
    let report = '';
    child.stderr.on('data', (chunk: Buffer) => (report += chunk.toString()));
    await once(child, 'exit');
    expect(report).to.match(/^\{/);
    const { dropped, rss, elapsedMs } = JSON.parse(report) as Record<string, number>;
    expect(dropped).to.be.greaterThan(150_000);
    expect(rss).to.be.lessThan(200 * 1_048_576);
    expect(elapsedMs).to.be.lessThan(30_000);
  });
});
