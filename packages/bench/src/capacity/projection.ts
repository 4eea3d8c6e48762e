/**
 * Extrapolates the measured slopes to the resource use of each role at the design size. Each line is a
 * sum of terms; a term is a measured constant, or a measured slope times a quantity of the design size.
 */
import { MAX_POLLS_PER_SECOND, READERS_PER_DATA_CENTRE } from '@poplarpick/decisions';
import { fitLine } from '@poplarpick/load';
import type { LineFit } from '@poplarpick/load';
import { createLine } from './capacity-line.ts';
import type { CapacityLine } from './capacity-line.ts';
import { CHANGES_PER_SECOND, round, TermBuilder } from './capacity-terms.ts';
import type { CapacityInput, CapacityTerm, DesignLinks } from './capacity-terms.ts';
import { DESIGN_SIZE, LIMITS } from './design-size.ts';
import {
  projectControlCpu,
  projectControlMessages,
  projectControlVolume,
  projectMemory,
} from './node-projection.ts';
import type { DesignNode } from './node-projection.ts';
import { CapacityRole } from './slopes.ts';
import { LOAD_SIDECARS, SweepName } from './sweeps.ts';

const REQUESTS_PER_ROUTER = DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.routers;
const REQUESTS_PER_SIDECAR = DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.sidecars;

/** Projects all lines of the page. */
export function projectLines(input: CapacityInput): CapacityLine[] {
  const builder = new TermBuilder(input);
  return [
    ...projectRouterLines(builder, input.links),
    ...projectSidecarLines(builder, input.links),
    ...projectFleetLines(builder),
  ];
}

function projectRouterLines(builder: TermBuilder, links: DesignLinks): CapacityLine[] {
  const role = CapacityRole.Router;
  const { backloggedWorkspaces } = DESIGN_SIZE;
  const tokensPerSecond = DESIGN_SIZE.tokensPerSecond / DESIGN_SIZE.routers;
  const router: DesignNode = {
    role,
    builder,
    linkTerms: (quantity) => [
      builder.constantTerm(role, SweepName.Sidecars, quantity),
      builder.slopeTerm(role, SweepName.Sidecars, quantity, links.sidecarsOfRouter),
      builder.slopeTerm(role, SweepName.Neighbours, quantity, links.routersOfRouter),
    ],
    loadTerms: (quantity) => [
      builder.slopeTerm(role, SweepName.Backlog, quantity, backloggedWorkspaces),
      builder.slopeTerm(role, SweepName.Requests, quantity, REQUESTS_PER_ROUTER),
    ],
  };
  return [
    projectControlVolume(
      router,
      'send changes of the configuration rather than whole documents; leave heartbeats out on busy links',
    ),
    projectControlMessages(router, 'grows with the sidecars linked to a router'),
    projectControlCpu(router),
    createLine({
      role,
      quantity: 'processor time of requests and answers',
      unit: 'cores',
      terms: [
        builder.slopeTerm(role, SweepName.Requests, 'cpu', REQUESTS_PER_ROUTER),
        builder.slopeTerm(role, SweepName.Tokens, 'cpu', tokensPerSecond),
      ],
      mechanism: 'token frames from links to callers',
      remark: 'a router is one thread; over one core, more routers or fewer frames are needed',
    }),
    projectMemory(
      router,
      'the runtime alone takes most of it; the limit is for control, the figure is the whole process',
    ),
  ];
}

function projectSidecarLines(builder: TermBuilder, links: DesignLinks): CapacityLine[] {
  const role = CapacityRole.Sidecar;
  const waiting = DESIGN_SIZE.backloggedWorkspaces * links.routersOfSidecar;
  // The sweep varies the requests of one router, which are spread over `LOAD_SIDECARS` sidecars.
  const requests = REQUESTS_PER_SIDECAR * LOAD_SIDECARS;
  const sidecar: DesignNode = {
    role,
    builder,
    linkTerms: (quantity) => [
      builder.constantTerm(role, SweepName.Routers, quantity),
      builder.slopeTerm(role, SweepName.Routers, quantity, links.routersOfSidecar),
    ],
    loadTerms: (quantity) => [
      builder.slopeTerm(role, SweepName.Backlog, quantity, waiting),
      builder.slopeTerm(role, SweepName.Requests, quantity, requests),
    ],
  };
  return [
    projectControlVolume(
      sidecar,
      'reports and totals that carry what changed alone; changes instead of documents',
    ),
    projectControlMessages(sidecar, 'grows with the routers linked to a sidecar'),
    projectControlCpu(sidecar),
    projectMemory(sidecar, 'the runtime alone takes most of it'),
  ];
}

function projectFleetLines(builder: TermBuilder): CapacityLine[] {
  const role = CapacityRole.Fleet;
  const propagationTime = fitLine(
    builder
      .findPoints(SweepName.Changes)
      .map(({ size, changeMs = 0 }) => ({ x: size, y: changeMs })),
  );
  const documentBytes = builder.fitConfigurations((point) => point.documentBytes);
  return [
    createLine({
      role,
      quantity: 'calls of the configuration service',
      unit: 'calls/s',
      limit: LIMITS.serviceCallsPerSecond,
      terms: [
        serviceCallsTerm(builder, SweepName.Routers, READERS, 'routers that watch'),
        pollsTerm(builder),
        {
          name: `${round(CHANGES_PER_SECOND)} changes/s × ${READERS} watches answered`,
          value: CHANGES_PER_SECOND * READERS,
          error: 0,
        },
      ],
      mechanism:
        'watches of a few readers in each data centre, and checks whose period grows with the fleet',
      remark: 'does not grow with the routers',
    }),
    createLine({
      role,
      quantity: 'time until a change is in force everywhere',
      unit: 'ms',
      limit: LIMITS.changeMs,
      terms: [propagationTimeTerm(propagationTime, documentBytes.intercept + documentBytes.slope)],
      mechanism: 'watch, then revision notices and fetches between neighbours',
      remark: 'each hop takes the revision in before it passes it on',
    }),
    createLine({
      role,
      quantity: 'size of the configuration document',
      unit: 'bytes',
      limit: LIMITS.documentBytes,
      terms: [
        { name: 'constant part', value: documentBytes.intercept, error: documentBytes.residual },
        {
          name: 'workspaces and endpoints',
          value: documentBytes.slope,
          error: documentBytes.slopeError,
        },
      ],
      mechanism: 'one TOML document with all workspaces and endpoints',
      remark: 'the largest value of the service is what breaks first as the fleet grows further',
    }),
  ];
}

/** Routers that watch the configuration service at the design size. */
const READERS = READERS_PER_DATA_CENTRE * DESIGN_SIZE.dataCentres;

function serviceCallsTerm(
  builder: TermBuilder,
  sweep: SweepName,
  count: number,
  description: string,
): CapacityTerm {
  const points = builder.findPoints(sweep);
  const { slope, slopeError } = fitLine(
    points.map(({ size, serviceCallsPerSecond = 0 }) => ({ x: size, y: serviceCallsPerSecond })),
  );
  return {
    name: `${round(slope)} × ${count} (${description})`,
    value: slope * count,
    error: slopeError * count,
  };
}

/** Polls by sidecars. Their period grows with the fleet so that the total rate is bounded. */
function pollsTerm(builder: TermBuilder): CapacityTerm {
  const unboundedTerm = serviceCallsTerm(
    builder,
    SweepName.Sidecars,
    DESIGN_SIZE.sidecars,
    'sidecars that check',
  );
  if (unboundedTerm.value <= MAX_POLLS_PER_SECOND) return unboundedTerm;
  const name = `${unboundedTerm.name}, bounded to ${MAX_POLLS_PER_SECOND} over all`;
  return { name, value: MAX_POLLS_PER_SECOND, error: 0 };
}

/** Bound on the hops of the overlay at the design size, asserted by the overlay's property test. */
const MAX_OVERLAY_HOPS = 8;

/** Hops of the measured fleet from the configuration service to the last sidecar. */
const MEASURED_HOPS = 2;

function propagationTimeTerm(propagationTime: LineFit, documentBytes: number): CapacityTerm {
  const hops = MAX_OVERLAY_HOPS / MEASURED_HOPS;
  return {
    name: `measured over ${MEASURED_HOPS} hops at ${round(documentBytes)} bytes, for ${MAX_OVERLAY_HOPS} hops`,
    value: (propagationTime.intercept + propagationTime.slope * documentBytes) * hops,
    error: propagationTime.slopeError * documentBytes * hops,
  };
}
