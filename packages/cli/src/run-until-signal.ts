/** Keeps a process alive until SIGTERM or SIGINT. The first signal drains it, a second one ends it at once. */
import type { Kernel } from '@poplarpick/kernel';
import { describeError } from '@poplarpick/kernel';
import { ExitCode } from './exit-code.ts';

/** Service that can finish its open work and then stop. */
export interface Drainable {
  drain(): Promise<void>;
}

/** Drains the service on the first signal and resolves when the drain is complete. */
export async function runUntilSignal(service: Drainable): Promise<void> {
  let draining = false;
  await new Promise<void>((resolve, reject) => {
    const onSignal = (): void => {
      if (draining) process.exit(ExitCode.Failure);
      draining = true;
      service.drain().then(resolve, reject);
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}

/**
 * Runs a router or sidecar until a signal. An unhandled rejection ends the process, since its state is
 * undefined from then on.
 */
export async function runKernel(kernel: Kernel): Promise<void> {
  process.on('unhandledRejection', (error) => {
    kernel.log.error({ event: 'process.failed', error: describeError(error) });
    process.exit(ExitCode.Failure);
  });
  await runUntilSignal(kernel);
}
