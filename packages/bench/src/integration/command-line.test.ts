import { spawn } from 'node:child_process';
import { X509Certificate } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { planSite, renderConfiguration } from '@poplarpick/stand-ins';

const PROGRAM = fileURLToPath(new URL('../../../../dist/poplarpick.cjs', import.meta.url));

interface CommandOutput {
  code: number | null;
  stdout: string;
  stderr: string;
}

async function runCommand(...args: string[]): Promise<CommandOutput> {
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  const output = { stdout: '', stderr: '' };
  child.stdout.on('data', (bytes: Buffer) => (output.stdout += bytes.toString()));
  child.stderr.on('data', (bytes: Buffer) => (output.stderr += bytes.toString()));
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve));
  return { code, ...output };
}

function routerSettings(changes: Record<string, string> = {}): string {
  const { callers = '127.0.0.1:0', links = '127.0.0.1:0', extra = '' } = changes;
  return [
    'fleet = "izvor"',
    'host = "entry-1"',
    'data_centre = "brasov"',
    extra,
    '[platform]',
    'configuration = "http://127.0.0.1:1"',
    'hosts = "http://127.0.0.1:1"',
    '[callers]',
    `address = "${callers}"`,
    '[links]',
    `address = "${links}"`,
    '[operators]',
    'address = "127.0.0.1:0"',
    '[trust]',
    'mode = "none"',
  ].join('\n');
}

async function findLine(stream: Readable, matches: (line: string) => boolean): Promise<string> {
  for await (const line of createInterface({ input: stream })) {
    if (matches(line)) return line;
  }
  throw new Error('the output has ended');
}

describe('the command line', () => {
  let folder: string;

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'poplarpick-cli-'));
  });

  after(() => {
    rmSync(folder, { recursive: true });
  });

  function writeTempFile(name: string, text: string): string {
    const file = join(folder, name);
    writeFileSync(file, text);
    return file;
  }

  it('accepts good settings and a good fleet configuration', async () => {
    const settings = await runCommand(
      'config',
      'check',
      writeTempFile('good.toml', routerSettings()),
    );
    expect(settings).to.deep.include({ code: 0, stderr: '' });
    const document = renderConfiguration(planSite(), { revision: 1 });
    const fleet = await runCommand(
      'config',
      'check',
      '--json',
      writeTempFile('fleet.toml', document),
    );
    expect(JSON.parse(fleet.stdout)).to.include({ kind: 'fleet', valid: true });
  });

  it('names the line of a syntax error', async () => {
    const file = writeTempFile('syntax.toml', `${routerSettings()}\nbroken =`);
    const { code, stderr } = await runCommand('config', 'check', file);
    expect(code).to.equal(2);
    expect(stderr).to.include(`${file}: line 16: `);
  });

  it('names the key path of an unknown key', async () => {
    const file = writeTempFile('unknown.toml', routerSettings({ extra: 'colour = "red"' }));
    const { code, stderr } = await runCommand('config', 'check', file);
    expect(code).to.equal(2);
    expect(stderr).to.include('unknown key colour');
  });

  it('names a value with the wrong unit or type', async () => {
    const document = renderConfiguration(planSite(), { revision: 1 }).replace(
      /\nwatts = [\d.]+/,
      '\nwatts = "3 kW"',
    );
    const { code, stderr } = await runCommand(
      'config',
      'check',
      writeTempFile('unit.toml', document),
    );
    expect(code).to.equal(2);
    expect(stderr).to.match(/presets\[0\]\.caps\[0\]\.watts: .*expected number/);
  });

  it("names the line and key of a wrong value in the platform's settings", async () => {
    const text = [
      'node = "front-1"',
      'ip = "10.0.0.1"',
      'zone = "z"',
      'portRange = [7400, 7415]',
      'listen = { front = "10.0.0.1:8783", ready = "10.0.0.1:8780" }',
      '[bounds]',
      'graceS = "8 s"',
      '[provider]',
      'address = "10.200.1.7:8781"',
    ].join('\n');
    const file = writeTempFile('platform.toml', text);
    const { code, stderr } = await runCommand('config', 'check', file);
    expect(code).to.equal(2);
    expect(stderr).to.include(`${file}: line 7: bounds.graceS: `);
  });

  it('names a duplicate address', async () => {
    const file = writeTempFile(
      'duplicate.toml',
      routerSettings({ callers: '127.0.0.1:8080', links: '127.0.0.1:8080' }),
    );
    const { code, stderr } = await runCommand('config', 'check', file);
    expect(code).to.equal(2);
    expect(stderr).to.include('links.address: duplicate address 127.0.0.1:8080');
  });

  it('names a missing file', async () => {
    const { code, stderr } = await runCommand('router', '--settings', join(folder, 'nowhere.toml'));
    expect(code).to.equal(2);
    expect(stderr).to.include('nowhere.toml: no such file');
  });

  it('starts nothing when a component cannot start', async () => {
    const blocker = createServer();
    await new Promise<void>((resolve) => blocker.listen(0, '127.0.0.1', resolve));
    const { port } = blocker.address() as AddressInfo;
    const file = writeTempFile('taken.toml', routerSettings({ callers: `127.0.0.1:${port}` }));
    const { code, stderr } = await runCommand('router', '--settings', file);
    blocker.close();
    expect(code).to.equal(1);
    expect(stderr).to.include('EADDRINUSE').and.to.include('event=process.stopped');
    expect(stderr).to.not.include('event=process.started');
  });

  it('exits with a code of its own when a process cannot be reached', async () => {
    const { code, stderr } = await runCommand('status', '--at', 'http://127.0.0.1:1', '--key', 'k');
    expect(code).to.equal(3);
    expect(stderr).to.include('http://127.0.0.1:1');
  });

  it('refuses settings without a trust mode', async () => {
    const text = routerSettings().replace('[trust]\nmode = "none"', '');
    const { code, stderr } = await runCommand('config', 'check', writeTempFile('trust.toml', text));
    expect(code).to.equal(2);
    expect(stderr).to.contain('trust: must be a table with mode');
  });

  it('creates a certificate authority once, and certificates signed by it', async () => {
    const keys = join(folder, 'keys');
    const make = ['keys', 'make', '--fleet', 'izvor', '--folder', keys];
    expect(await runCommand(...make, 'router:entry-1')).to.include({ code: 0, stderr: '' });
    expect(await runCommand(...make, 'sidecar:host-2')).to.include({ code: 0, stderr: '' });
    const [authority, first, second] = ['ca', 'entry-1', 'host-2'].map(
      (name) => new X509Certificate(readFileSync(join(keys, `${name}.pem`))),
    );
    if (authority === undefined) throw new Error('no authority');
    expect(first?.verify(authority.publicKey)).to.equal(true);
    expect(second?.verify(authority.publicKey)).to.equal(true);
    expect(first?.subjectAltName).to.equal('URI:poplarpick://izvor/router/entry-1');
    expect(statSync(join(keys, 'entry-1-key.pem')).mode & 0o077).to.equal(0);
    expect((await runCommand(...make, 'nobody')).code).to.equal(2);
  });

  it('refuses unknown flags and commands', async () => {
    expect((await runCommand('version', '--loud')).code).to.equal(2);
    expect((await runCommand('dance')).code).to.equal(2);
  });

  it('keeps the demo running and prints a curl command for a first request', async () => {
    const child = spawn(process.execPath, [PROGRAM, 'demo'], {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    const ended = new Promise<number | null>((resolve) => child.once('exit', resolve));
    const line = await findLine(child.stdout, (text) => text.startsWith('curl '));
    const [, url = '', authorization = '', body = ''] =
      /(http:\S+) -H 'Authorization: ([^']+)'.* -d '([^']+)'/.exec(line) ?? [];
    const answer = await fetch(url, {
      method: 'POST',
      headers: { authorization, 'content-type': 'application/json' },
      body,
    });
    expect(await answer.text()).to.match(/data: \[DONE\]\n\n$/);
    child.stdout.resume();
    child.kill('SIGTERM');
    expect(await ended).to.equal(0);
  });

  it('ends the demo with one line of JSON', async () => {
    const { code, stdout } = await runCommand('demo', '--duration', '3', '--json');
    expect(code).to.equal(0);
    expect(stdout).to.match(/curl .*http:\/\/127\.0\.0\.1:\d+.*Authorization: Bearer \S+/);
    const result: unknown = JSON.parse(stdout.trim().split('\n').at(-1) ?? '');
    expect(result).to.include({ lost: 0, doubled: 0, wrongAnswer: 0 });
    expect(result).to.include.keys(
      'fairnessGap',
      'utilisation',
      'controlBytesPerNodeSecond',
      'requests',
    );
  });
});
