/**
 * Extrapolates the measured slopes to the resource use of each role at the design size. Each line is a
 * sum of terms; a term is a measured constant, or a measured slope times a quantity of the design size.
 */
import { MAX_POLLS_PER_SECOND, READERS_PER_DATA_CENTRE } from '@poplarpick/decisions';
import { fitLine } from '@poplarpick/load';
import type { LineFit } from '@poplarpick/load';
import type { ConfigurationPoint } from './configuration-cost.ts';
import { DESIGN_SIZE, LIMITS, SECONDS_PER_DAY } from './design-size.ts';
import type { NodeRates } from './node-rates.ts';
import { CapacityRole, fitSlopes } from './slopes.ts';
import type { MeasuredSlope } from './slopes.ts';
import { LOAD_SIDECARS, SweepName } from './sweeps.ts';
import type { Sweep, SweepPoint } from './sweeps.ts';

/** One summand of a line. */
export interface CapacityTerm {
  name: string;
  value: number;
  /** Standard error of the value, from the fit. */
  error: number;
}

/** Projected use of one resource by one role. */
export interface CapacityLine {
  role: CapacityRole;
  quantity: string;
  unit: string;
  value: number;
  error: number;
  limit: number | null;
  over: boolean;
  mechanism: string;
  /** Remedy if the line exceeds its limit, or what fails first. */
  remark: string;
  terms: CapacityTerm[];
}

/** Measurements that the lines are computed from. */
export interface CapacityInput {
  sweeps: Sweep[];
  configurations: ConfigurationPoint[];
  /** Links of a node of each role at the design size. */
  links: DesignLinks;
}

/** Mean number of links of a node of each role at the design size. */
export interface DesignLinks {
  routersOfSidecar: number;
  sidecarsOfRouter: number;
  routersOfRouter: number;
}

const CHANGES_PER_SECOND = DESIGN_SIZE.changesPerDay / SECONDS_PER_DAY;
const REQUESTS_PER_ROUTER = DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.routers;
const REQUESTS_PER_SIDECAR = DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.sidecars;

/** Builds terms from the measured slopes. */
class TermBuilder {
  private readonly slopes: MeasuredSlope[];
  private readonly input: CapacityInput;

  constructor(input: CapacityInput) {
    this.input = input;
    this.slopes = fitSlopes(input.sweeps);
  }

  /** Term of a slope times a quantity of the design size. */
  slopeTerm(
    role: MeasuredSlope['role'],
    sweep: SweepName,
    quantity: keyof NodeRates,
    count: number,
  ): CapacityTerm {
    const { fit, varied } = this.findSlope(role, sweep, quantity);
    const name = `${round(fit.slope)} × ${round(count)} (${varied})`;
    return { name, value: fit.slope * count, error: fit.slopeError * count };
  }

  /** Term of the fit's intercept. */
  constantTerm(
    role: MeasuredSlope['role'],
    sweep: SweepName,
    quantity: keyof NodeRates,
  ): CapacityTerm {
    const { fit } = this.findSlope(role, sweep, quantity);
    return { name: `constant part (${sweep})`, value: fit.intercept, error: fit.residual };
  }

  /** Fits a measure of the configuration documents by their share of the design size. */
  fitConfigurations(selectValue: (point: ConfigurationPoint) => number): LineFit {
    return fitLine(
      this.input.configurations.map((point) => ({ x: point.share, y: selectValue(point) })),
    );
  }

  findPoints(name: SweepName): SweepPoint[] {
    return this.input.sweeps.find((sweep) => sweep.name === name)?.points ?? [];
  }

  private findSlope(
    role: MeasuredSlope['role'],
    sweep: SweepName,
    quantity: keyof NodeRates,
  ): MeasuredSlope {
    const found = this.slopes.find(
      (slope) => slope.role === role && slope.sweep === sweep && slope.quantity === quantity,
    );
    if (found === undefined) throw new Error(`sweep ${sweep} was not measured`);
    return found;
  }
}

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
  const controlTerms = (quantity: keyof NodeRates): CapacityTerm[] => [
    builder.constantTerm(role, SweepName.Sidecars, quantity),
    builder.slopeTerm(role, SweepName.Sidecars, quantity, links.sidecarsOfRouter),
    builder.slopeTerm(role, SweepName.Neighbours, quantity, links.routersOfRouter),
    builder.slopeTerm(role, SweepName.Backlog, quantity, DESIGN_SIZE.backloggedWorkspaces),
    builder.slopeTerm(role, SweepName.Requests, quantity, REQUESTS_PER_ROUTER),
  ];
  const tokensPerSecond = DESIGN_SIZE.tokensPerSecond / DESIGN_SIZE.routers;
  return [
    createLine({
      role,
      quantity: 'control volume',
      unit: 'bytes/s',
      limit: LIMITS.controlBytesPerSecond,
      terms: [
        ...controlTerms('controlBytes'),
        configurationChangeTerm(builder, role, 'controlBytes'),
      ],
      mechanism: 'heartbeats, backlog notices, claims, reports, changes of the configuration',
      remark:
        'send changes of the configuration rather than whole documents; leave heartbeats out on busy links',
    }),
    createLine({
      role,
      quantity: 'control messages',
      unit: 'messages/s',
      terms: controlTerms('controlMessages'),
      mechanism: 'the same',
      remark: 'grows with the sidecars linked to a router',
    }),
    createLine({
      role,
      quantity: 'processor time of control',
      unit: 'cores',
      limit: LIMITS.controlCpu,
      terms: [
        builder.constantTerm(role, SweepName.Sidecars, 'cpu'),
        builder.slopeTerm(role, SweepName.Sidecars, 'cpu', links.sidecarsOfRouter),
        builder.slopeTerm(role, SweepName.Neighbours, 'cpu', links.routersOfRouter),
        configurationChangeTerm(builder, role, 'cpu'),
      ],
      mechanism: 'links without load; taking in of each revision',
      remark: 'reports and heartbeats, message by message',
    }),
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
    createLine({
      role,
      quantity: 'private memory',
      unit: 'bytes',
      limit: LIMITS.controlMemoryBytes,
      terms: [
        builder.constantTerm(role, SweepName.Sidecars, 'anonBytes'),
        builder.slopeTerm(role, SweepName.Sidecars, 'anonBytes', links.sidecarsOfRouter),
        builder.slopeTerm(role, SweepName.Neighbours, 'anonBytes', links.routersOfRouter),
        configurationMemoryTerm(builder),
      ],
      mechanism: 'runtime and libraries, link buffers, the parsed configuration',
      remark:
        'the runtime alone takes most of it; the limit is for control, the figure is the whole process',
    }),
  ];
}

function projectSidecarLines(builder: TermBuilder, links: DesignLinks): CapacityLine[] {
  const role = CapacityRole.Sidecar;
  const controlTerms = (quantity: keyof NodeRates): CapacityTerm[] => [
    builder.constantTerm(role, SweepName.Routers, quantity),
    builder.slopeTerm(role, SweepName.Routers, quantity, links.routersOfSidecar),
    builder.slopeTerm(
      role,
      SweepName.Backlog,
      quantity,
      DESIGN_SIZE.backloggedWorkspaces * links.routersOfSidecar,
    ),
    // The sweep varies the requests of one router, which are spread over `LOAD_SIDECARS` sidecars.
    builder.slopeTerm(role, SweepName.Requests, quantity, REQUESTS_PER_SIDECAR * LOAD_SIDECARS),
  ];
  return [
    createLine({
      role,
      quantity: 'control volume',
      unit: 'bytes/s',
      limit: LIMITS.controlBytesPerSecond,
      terms: [
        ...controlTerms('controlBytes'),
        configurationChangeTerm(builder, role, 'controlBytes'),
      ],
      mechanism: 'heartbeats, backlog notices, claims, reports, changes of the configuration',
      remark: 'reports and totals that carry what changed alone; changes instead of documents',
    }),
    createLine({
      role,
      quantity: 'control messages',
      unit: 'messages/s',
      terms: controlTerms('controlMessages'),
      mechanism: 'the same',
      remark: 'grows with the routers linked to a sidecar',
    }),
    createLine({
      role,
      quantity: 'processor time of control',
      unit: 'cores',
      limit: LIMITS.controlCpu,
      terms: [
        builder.constantTerm(role, SweepName.Routers, 'cpu'),
        builder.slopeTerm(role, SweepName.Routers, 'cpu', links.routersOfSidecar),
        configurationChangeTerm(builder, role, 'cpu'),
      ],
      mechanism: 'links without load; taking in of each revision',
      remark: 'reports and heartbeats, message by message',
    }),
    createLine({
      role,
      quantity: 'private memory',
      unit: 'bytes',
      limit: LIMITS.controlMemoryBytes,
      terms: [
        builder.constantTerm(role, SweepName.Routers, 'anonBytes'),
        builder.slopeTerm(role, SweepName.Routers, 'anonBytes', links.routersOfSidecar),
        configurationMemoryTerm(builder),
      ],
      mechanism: 'runtime and libraries, link buffers, the parsed configuration',
      remark: 'the runtime alone takes most of it',
    }),
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

/** Term of the cost that configuration changes at the design size cause on one node. */
function configurationChangeTerm(
  builder: TermBuilder,
  role: MeasuredSlope['role'],
  quantity: keyof NodeRates,
): CapacityTerm {
  const documentBytes = builder.fitConfigurations((point) => point.documentBytes);
  const size = documentBytes.intercept + documentBytes.slope;
  const constantTerm = builder.constantTerm(role, SweepName.Changes, quantity);
  const sizeTerm = builder.slopeTerm(role, SweepName.Changes, quantity, size);
  return {
    name: `${round(CHANGES_PER_SECOND)} changes/s of a document of ${round(size)} bytes`,
    value: CHANGES_PER_SECOND * (constantTerm.value + sizeTerm.value),
    error: CHANGES_PER_SECOND * (constantTerm.error + sizeTerm.error),
  };
}

function configurationMemoryTerm(builder: TermBuilder): CapacityTerm {
  const heapBytes = builder.fitConfigurations((point) => point.heapBytes);
  const documentBytes = builder.fitConfigurations((point) => point.documentBytes);
  return {
    name: 'parsed configuration and its text',
    value: heapBytes.intercept + heapBytes.slope + documentBytes.intercept + documentBytes.slope,
    error: heapBytes.slopeError + documentBytes.slopeError,
  };
}

type LineDraft = Pick<
  CapacityLine,
  'role' | 'quantity' | 'unit' | 'mechanism' | 'remark' | 'terms'
> & { limit?: number };

function createLine(draft: LineDraft): CapacityLine {
  const value = draft.terms.reduce((sum, term) => sum + term.value, 0);
  const error = Math.sqrt(draft.terms.reduce((sum, term) => sum + term.error ** 2, 0));
  const limit = draft.limit ?? null;
  return { ...draft, value, error, limit, over: limit !== null && value > limit };
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}
