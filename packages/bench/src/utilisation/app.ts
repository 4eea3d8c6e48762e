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
  const ideal = computeReplayUtilisation(replay(ReplayPolicy.GlobalQueue), engines, span);
  const push = computeReplayUtilisation(replay(ReplayPolicy.RoundRobinPush), engines, span);
  if (!options.json) console.table({ fleet: live.utilisation, globalQueue: ideal, push });
  console.log(
    JSON.stringify({
      utilisation: live.utilisation,
      utilisationOfIdeal: live.utilisation / ideal,
      utilisationOfGlobalQueue: ideal,
      controlBytesPerNodeSecond: live.control.bytesPerNodeSecond,
      ...options,
    }),
  );
}
