/** `utilisation`: busy slot time while work waits, beside that of one global queue on the same arrivals. */
import { readRunOptions, runUsualLoad } from '../fairness/app.ts';
import { ReplayPolicy, replayUtilisation } from '../fairness/replay.ts';

/** The command's entry in the bench. */
export const utilisationCommand = {
  name: 'utilisation',
  summary:
    'busy slot time while work waits  [--size izvor|trinacria] [--routers N] [--seed N] [--seconds N] [--json]',
  run: runUtilisation,
};

async function runUtilisation(args: string[]): Promise<void> {
  const options = readRunOptions(args);
  const { live, span, engines, replay } = await runUsualLoad(options);
  const ideal = replayUtilisation(replay(ReplayPolicy.GlobalQueue), engines, span);
  const push = replayUtilisation(replay(ReplayPolicy.RoundRobinPush), engines, span);
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
