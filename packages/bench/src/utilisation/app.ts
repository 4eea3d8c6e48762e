/**
 * `utilisation`: measures the busy share of the slots while requests wait, compared with one global queue
 * on the same arrivals.
 */
import { parseRunOptions, runStandardLoad } from '../fairness/app.ts';
import { ReplayPolicy, computeReplayUtilisation } from '../fairness/replay.ts';

/** Entry of the `utilisation` command. */
export const utilisationCommand = {
  name: 'utilisation',
  summary:
    'busy slot time while work waits  [--size izvor|trinacria] [--routers N] [--seed N] [--seconds N] [--json]',
  run: runUtilisation,
};

async function runUtilisation(args: string[]): Promise<void> {
  const options = parseRunOptions(args);
  const { live, span, engines, replay } = await runStandardLoad(options);
  const globalQueueUtilisation = computeReplayUtilisation(
    replay(ReplayPolicy.GlobalQueue),
    engines,
    span,
  );
  const pushUtilisation = computeReplayUtilisation(
    replay(ReplayPolicy.RoundRobinPush),
    engines,
    span,
  );
  if (!options.json)
    console.table({
      fleet: live.utilisation,
      globalQueue: globalQueueUtilisation,
      push: pushUtilisation,
    });
  console.log(
    JSON.stringify({
      utilisation: live.utilisation,
      utilisationOfIdeal: live.utilisation / globalQueueUtilisation,
      utilisationOfGlobalQueue: globalQueueUtilisation,
      controlBytesPerNodeSecond: live.control.bytesPerNodeSecond,
      ...options,
    }),
  );
}
