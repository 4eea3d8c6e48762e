import { expect } from 'chai';
import { Kernel, orderPlugins, Plugin, Role } from './kernel.ts';
import { createLogger, LogLevel } from './log.ts';

const calls: string[] = [];

class TestPlugin extends Plugin {
  override readonly name: string;
  override readonly roles = [Role.Router];
  override readonly requires: readonly string[];
  private readonly fails: boolean;

  constructor(name: string, requires: readonly string[] = [], fails = false) {
    super();
    this.name = name;
    this.requires = requires;
    this.fails = fails;
  }

  override async start(): Promise<void> {
    calls.push(`start ${this.name}`);
    if (this.fails) throw new Error(`${this.name} fails`);
    return Promise.resolve();
  }

  override async open(): Promise<void> {
    calls.push(`open ${this.name}`);
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    calls.push(`stop ${this.name}`);
    return Promise.resolve();
  }
}

describe('orderPlugins', () => {
  it('puts each plug-in after those that it requires', () => {
    const ordered = orderPlugins([
      new TestPlugin('c', ['b']),
      new TestPlugin('b', ['a']),
      new TestPlugin('a'),
    ]);
    expect(ordered.map(({ name }) => name)).to.deep.equal(['a', 'b', 'c']);
  });

  it('throws on a cycle and on a missing requirement', () => {
    expect(() => orderPlugins([new TestPlugin('a', ['b']), new TestPlugin('b', ['a'])])).to.throw(
      'requires itself',
    );
    expect(() => orderPlugins([new TestPlugin('a', ['z'])])).to.throw(
      'requires z, which is missing',
    );
  });
});

describe('Kernel', () => {
  const log = createLogger({ level: LogLevel.Silent });

  beforeEach(() => {
    calls.length = 0;
  });

  it('starts all plug-ins of its role before opening any, and stops them in reverse order', async () => {
    const plugins = [() => new TestPlugin('second', ['first']), () => new TestPlugin('first')];
    const kernel = new Kernel({ role: Role.Router, host: 'test', log, plugins });
    await kernel.start();
    await kernel.stop();
    expect(calls).to.deep.equal([
      'start first',
      'start second',
      'open first',
      'open second',
      'stop second',
      'stop first',
    ]);
  });

  it('does not start plug-ins of other roles', async () => {
    const kernel = new Kernel({
      role: Role.Sidecar,
      host: 'test',
      log,
      plugins: [() => new TestPlugin('first')],
    });
    await kernel.start();
    await kernel.stop();
    expect(calls).to.deep.equal([]);
  });

  it('stops a plug-in whose start failed', async () => {
    const plugins = [() => new TestPlugin('first', [], true)];
    const kernel = new Kernel({ role: Role.Router, host: 'test', log, plugins });
    let failure: unknown;
    await kernel.start().catch((error: unknown) => (failure = error));
    await kernel.stop();
    expect(failure).to.be.instanceOf(Error);
    expect(calls).to.deep.equal(['start first', 'stop first']);
  });
});
