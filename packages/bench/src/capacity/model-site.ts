/** Sites of any size for the sweeps, with engines that are fast enough not to be what is measured. */
import { EndpointKind } from '@poplarpick/decisions';
import { planSite } from '@poplarpick/stand-ins';
import type { PlannedEndpoint, SitePlan } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

/** Size of a site of model engines alone. */
export interface ModelSiteOptions {
  sidecars: number;
  workspaces?: number;
  slots?: number;
  /** Time of an engine's step. */
  stepMs?: number;
}

const DEFAULT_WORKSPACES = 16;
const DEFAULT_SLOTS = 16;
const DEFAULT_STEP_MS = 5;
const PER_SEQUENCE_MS = 0.05;

/** Plans a site of model engines in the data centres of the ordinary plan. */
export function planModelSite(scale: ModelSiteOptions): SitePlan {
  const plan = planSite({ workspaces: scale.workspaces ?? DEFAULT_WORKSPACES });
  const [template] = plan.endpoints;
  if (template === undefined) throw new Error('the plan has no endpoint');
  const endpoints = Array.from({ length: scale.sidecars }, (_, index): PlannedEndpoint => ({
    ...template,
    name: `engine-${index + 1}`,
    kind: EndpointKind.Model,
    dataCentre: plan.dataCentres[index % plan.dataCentres.length] ?? '',
    slots: scale.slots ?? DEFAULT_SLOTS,
  }));
  return { ...plan, endpoints };
}

/** Runs `action` with a fleet and stops the fleet whatever happens. */
export async function withFleet<Result>(
  scale: ModelSiteOptions & { routers: number },
  action: (fleet: ProcessFleet) => Promise<Result>,
): Promise<Result> {
  const pace = { baseStepMs: scale.stepMs ?? DEFAULT_STEP_MS, perSequenceMs: PER_SEQUENCE_MS };
  const fleet = await ProcessFleet.start({
    plan: planModelSite(scale),
    site: { engineDefaults: { pace } },
    routers: scale.routers,
    binary: true,
  });
  try {
    return await action(fleet);
  } finally {
    await fleet.stop();
  }
}
