import { expect } from 'chai';
import { createLogger } from './log.ts';
import { Task } from './task.ts';

class Recorder extends Task<number> {
  readonly handled: number[] = [];

  protected override handle(message: number): void {
    if (message < 0) throw new Error('negative');
    // A message posted while one is handled waits its turn.
    if (message === 1) this.post(10);
    this.handled.push(message);
  }
}

describe('Task', () => {
  const lines: string[] = [];
  const log = createLogger({ write: (line) => lines.push(line) });

  it('handles one message at a time, in the order of arrival', () => {
    const recorder = new Recorder('recorder', log);
    [1, 2].forEach((message) => recorder.post(message));
    expect(recorder.handled).to.deep.equal([1, 10, 2]);
  });

  it('goes on after a message that it could not handle', () => {
    const recorder = new Recorder('recorder', log);
    [-1, 3].forEach((message) => recorder.post(message));
    expect(recorder.handled).to.deep.equal([3]);
    expect(lines.join('')).to.include('event=task.failed');
  });

  it('drops messages after it has stopped', () => {
    const recorder = new Recorder('recorder', log);
    recorder.stop();
    recorder.post(4);
    expect(recorder.handled).to.deep.equal([]);
  });
});
