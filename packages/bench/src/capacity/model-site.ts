/** Fleets of any size for the sweeps, with engines that are too fast to be the bottleneck. */
import { EndpointKind } from '@poplarpick/decisions';
import { planSite } from '@poplarpick/stand-ins';
import type { PlannedEndpoint, SitePlan } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

/** Size of a site that has only model engines. */
export interface ModelSiteOptions {
  sidecars: number;
  workspaces?: number;
  slots?: number;
  /** Milliseconds per engine step. */
  stepMs?: number;
}

const DEFAULT_WORKSPACES = 16;
const DEFAULT_SLOTS = 16;
const DEFAULT_STEP_MS = 5;
const PER_SEQUENCE_MS = 0.05;

/** Plans a site of model engines, spread over the data centres of the default plan. */
export function planModelSite(options: ModelSiteOptions): SitePlan {
  const plan = planSite({ workspaces: options.workspaces ?? DEFAULT_WORKSPACES });
  const [template] = plan.endpoints;
  if (template === undefined) throw new Error('the plan has no endpoint');
  const endpoints = Array.from({ length: options.sidecars }, (_, index): PlannedEndpoint => ({
    ...template,
    name: `engine-${index + 1}`,
    kind: EndpointKind.Model,
    dataCentre: plan.dataCentres[index % plan.dataCentres.length] ?? '',
    slots: options.slots ?? DEFAULT_SLOTS,
  }));
  return { ...plan, endpoints };
}

/** Starts a fleet, runs `action` with it and stops the fleet also if `action` fails. */
export async function withFleet<Result>(
  options: ModelSiteOptions & { routers: number },
  action: (fleet: ProcessFleet) => Promise<Result>,
): Promise<Result> {
  const pace = { baseStepMs: options.stepMs ?? DEFAULT_STEP_MS, perSequenceMs: PER_SEQUENCE_MS };
  const fleet = await ProcessFleet.start({
    plan: planModelSite(options),
    site: { engineDefaults: { pace } },
    routers: options.routers,
    binary: true,
  });
  try {
    return await action(fleet);
  } finally {
    await fleet.stop();
  }
}
