/**
 * `power`: measures the time over the power cap during many preset switches while requests wait for
 * every slot. Power is computed from the engine stand-ins' own counts of running requests and not from
 * figures that the fleet reports.
 */
import { parseArgs } from 'node:util';
import { setTimeout as pause } from 'node:timers/promises';
import { findPreset, parseFleetConfiguration } from '@poplarpick/decisions';
import { Random } from '@poplarpick/load';
import { planSite, SitePreset, SiteSize, renderConfiguration } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import { BacklogLoad } from './backlog-load.ts';
import type { LoadCounts } from './backlog-load.ts';
import { PowerMeter } from './power-meter.ts';
import type { PowerReading } from './power-meter.ts';

/** Target for the time until a change is in force in all processes, at today's fleet sizes. */
const PROPAGATION_MS = 1_000;

const SETTLE_MS = 1_500;

/** Bounds on the time between two switches; some switches come before the last one has settled. */
const MIN_DWELL_MS = 200;
const MAX_DWELL_MS = 1_800;

const WARM_UP_MS = 3_000;
const APPLICATION_WORK_MS = 100;

/** Result as the command prints it. */
interface PowerResult extends PowerReading, LoadCounts {
  switches: number;
  settleMs: number;
  arrivalMs: number;
  suspended: number;
}

/** Entry of the `power` command. */
export const powerCommand = {
  name: 'power',
  summary:
    'time over the power cap through preset switches  [--seed S] [--size izvor|trinacria] [--routers N] [--switches N] [--json]',
  run: runPower,
};

async function runPower(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      size: { type: 'string', default: SiteSize.Izvor },
      routers: { type: 'string', default: '2' },
      switches: { type: 'string', default: '100' },
      json: { type: 'boolean', default: false },
    },
  });
  const size = Object.values(SiteSize).find((entry) => entry === values.size);
  if (size === undefined) throw new Error(`no size ${values.size}`);
  const fleet = await ProcessFleet.start({
    plan: planSite({ size }),
    routers: Number(values.routers),
    site: { settleMs: SETTLE_MS, applicationWorkMs: APPLICATION_WORK_MS },
  });
  try {
    const result = await measurePower(fleet, Number(values.seed), Number(values.switches));
    if (!values.json) console.table(result);
    console.log(JSON.stringify(result));
  } finally {
    await fleet.stop();
  }
}

async function measurePower(
  fleet: ProcessFleet,
  seed: number,
  switches: number,
): Promise<PowerResult> {
  const random = new Random(seed);
  const meter = new PowerMeter({
    site: fleet.site,
    propagationMs: PROPAGATION_MS,
    settleMs: SETTLE_MS,
  });
  const load = new BacklogLoad(fleet, seed);
  meter.recordPublishedCaps(computeCaps(fleet, SitePreset.Ordinary));
  load.start();
  await pause(WARM_UP_MS);
  meter.start();
  let preset = SitePreset.Ordinary;
  for (let index = 0; index < switches; index += 1) {
    preset = pickOtherPreset(preset, random);
    meter.recordPublishedCaps(computeCaps(fleet, preset));
    fleet.site.publish({ revision: index + 2, preset, settleMs: SETTLE_MS });
    await pause(MIN_DWELL_MS + random.integer(MAX_DWELL_MS - MIN_DWELL_MS));
  }
  await pause(SETTLE_MS);
  const reading = meter.stop();
  await load.stop();
  return {
    ...reading,
    ...load.counts,
    switches,
    settleMs: SETTLE_MS,
    arrivalMs: PROPAGATION_MS,
    suspended: countSuspensions(fleet),
  };
}

function pickOtherPreset(preset: SitePreset, random: Random): SitePreset {
  const others = Object.values(SitePreset).filter((entry) => entry !== preset);
  return others[random.integer(others.length)] ?? preset;
}

function computeCaps(fleet: ProcessFleet, preset: SitePreset): Map<string, number> {
  const text = renderConfiguration(fleet.site.plan, { revision: 1, preset });
  const { caps } = findPreset(parseFleetConfiguration(text, preset));
  return new Map(caps.map((cap) => [cap.data_centre, cap.watts]));
}

/** Counts the suspended requests in the sidecars' retained log events. */
function countSuspensions(fleet: ProcessFleet): number {
  return fleet.sidecars
    .flatMap(({ process }) => process.events)
    .filter((event) => event['event'] === 'request.suspended').length;
}
