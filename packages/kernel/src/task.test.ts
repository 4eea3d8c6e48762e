import { expect } from 'chai';
import { createLogger } from './log.ts';
import { Task } from './task.ts';

class Recorder extends Task<number> {
  readonly handled: number[] = [];

  protected override handle(message: number): void {
    if (message < 0) throw new Error('negative');
    // A message posted from within a handler is queued, not handled recursively.
    if (message === 1) this.post(10);
    this.handled.push(message);
  }
}

describe('Task', () => {
  const lines: string[] = [];
  const log = createLogger({ write: (line) => lines.push(line) });

  it('handles one message at a time, in order of arrival', () => {
    const recorder = new Recorder('recorder', log);
    [1, 2].forEach((message) => recorder.post(message));
    expect(recorder.handled).to.deep.equal([1, 10, 2]);
  });

  it('logs a failed message and continues with the next', () => {
    const recorder = new Recorder('recorder', log);
    [-1, 3].forEach((message) => recorder.post(message));
    expect(recorder.handled).to.deep.equal([3]);
    expect(lines.join('')).to.include('event=task.failed');
  });

  it('drops messages after it was stopped', () => {
    const recorder = new Recorder('recorder', log);
    recorder.stop();
    recorder.post(4);
    expect(recorder.handled).to.deep.equal([]);
  });
});
