/**
 * `decision-cost`: measures the time of one fair-share decision with the updates that go with it. A
 * decision picks and charges the waiting workspace with the least service, and sets a new total for one
 * workspace, as a received report does. Also measures the decisions of a platform router about one request.
 */
import { parseArgs } from 'node:util';
import { FairShareOrder } from '@poplarpick/decisions';
import { Random } from '@poplarpick/load';
import { measurePlacementTimes } from './placement-time.ts';

const WARM_UP_DECISIONS = 20_000;
const DECISIONS = 200_000;
const MAX_COST = 120;
const NANOSECONDS_PER_MICROSECOND = 1_000n;
/** Factor on the number of workspaces in the second measurement, which shows how the cost scales. */
const GROWTH_FACTOR = 10;

/** Sizes of fleets for which the decisions of a platform router are measured. */
const PLACEMENT_FLEETS = [
  { routers: 4, endpoints: 13, workspaces: 16 },
  { routers: 28, endpoints: 36, workspaces: 30 },
  { routers: 68, endpoints: 88, workspaces: 60 },
  { routers: 100, endpoints: 36, workspaces: 30 },
  { routers: 300, endpoints: 88, workspaces: 60 },
];

/** Entry of the `decision-cost` command. */
export const decisionCostCommand = {
  name: 'decision-cost',
  summary:
    'time of one fair-share decision, and of placement on the platform  [--workspaces N] [--backlogged N] [--seed N] [--json]',
  run: runDecisionCost,
};

async function runDecisionCost(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      workspaces: { type: 'string', default: '2800' },
      backlogged: { type: 'string', default: '280' },
      seed: { type: 'string', default: '1' },
      json: { type: 'boolean', default: false },
    },
  });
  const workspaces = Number(values.workspaces);
  const backlogged = Number(values.backlogged);
  const seed = Number(values.seed);
  const microseconds = measureDecisionTime({ workspaces, backlogged, seed });
  const grownOptions = {
    workspaces: workspaces * GROWTH_FACTOR,
    backlogged: backlogged * GROWTH_FACTOR,
    seed,
  };
  const microsecondsTenfold = measureDecisionTime(grownOptions);
  const times = measurePlacementTimes(PLACEMENT_FLEETS);
  const placement = PLACEMENT_FLEETS.map((fleet, index) => ({ ...fleet, ...times[index] }));
  if (!values.json) console.table(placement);
  const result = { microseconds, microsecondsTenfold, workspaces, backlogged, seed, placement };
  if (!values.json) console.table(result);
  console.log(JSON.stringify(result));
  return Promise.resolve();
}

/** Measures the mean time of a decision in microseconds. */
function measureDecisionTime(options: {
  workspaces: number;
  backlogged: number;
  seed: number;
}): number {
  const random = new Random(options.seed);
  const names = Array.from({ length: options.workspaces }, (_, index) => `workspace-${index}`);
  const fairShare = new FairShareOrder({ maxServiceLead: MAX_COST * options.workspaces });
  const services = new Map(names.map((name) => [name, random.uniform() * MAX_COST]));
  services.forEach((service, name) => fairShare.setService(name, service));
  names.slice(0, options.backlogged).forEach((name) => fairShare.startWaiting(name));
  const charge = (name: string): void => {
    const service = (services.get(name) ?? 0) + random.uniform() * MAX_COST;
    services.set(name, service);
    fairShare.setService(name, service);
  };
  const decide = (): void => {
    fairShare.forgiveExcessService();
    const [leastServed = ''] = fairShare.rankWaiting();
    charge(leastServed);
    charge(names[random.integer(options.backlogged)] ?? '');
  };
  for (let count = 0; count < WARM_UP_DECISIONS; count += 1) decide();
  const startedAt = process.hrtime.bigint();
  for (let count = 0; count < DECISIONS; count += 1) decide();
  const nanoseconds = process.hrtime.bigint() - startedAt;
  return Number(nanoseconds / NANOSECONDS_PER_MICROSECOND) / DECISIONS;
}
