/** Keeps a process alive until a signal: the first drains it, a second ends it at once. */
import type { Kernel } from '@poplarpick/kernel';
import { describeError } from '@poplarpick/kernel';
import { ExitCode } from './exit-code.ts';

/** Something that can be ended gracefully. */
export interface Drainable {
  drain(): Promise<void>;
}

/** Resolves when a signal has come and the drain is done. */
export async function runUntilSignal(stoppable: Drainable): Promise<void> {
  let draining = false;
  await new Promise<void>((resolve, reject) => {
    const onSignal = (): void => {
      if (draining) process.exit(ExitCode.Failure);
      draining = true;
      stoppable.drain().then(resolve, reject);
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}

/** Runs a process of the system until a signal; what nobody caught ends it, since its state is then unknown. */
export async function runKernel(kernel: Kernel): Promise<void> {
  process.on('unhandledRejection', (error) => {
    kernel.log.error({ event: 'process.failed', error: describeError(error) });
    process.exit(ExitCode.Failure);
  });
  await runUntilSignal(kernel);
}
