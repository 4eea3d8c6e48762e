/**
 * Works out what each role needs at the design size from the measured slopes. Each line is a sum of
 * terms: a measured rate, or a measured slope times a quantity of the design.
 */
import { fitLine } from '@poplarpick/load';
import type { Fit } from '@poplarpick/load';
import type { ConfigurationPoint } from './configuration-cost.ts';
import { DESIGN, LIMITS, SECONDS_PER_DAY } from './design-size.ts';
import type { NodeRates } from './node-sample.ts';
import { SweepName } from './sweeps.ts';
import type { Sweep, SweepPoint } from './sweeps.ts';

/** Roles of the page. */
export enum CapacityRole {
  Router = 'router',
  Sidecar = 'sidecar',
  Fleet = 'fleet',
}

/** A measured quantity against what was varied. */
export interface MeasuredSlope {
  sweep: SweepName;
  varied: string;
  role: CapacityRole.Router | CapacityRole.Sidecar;
  quantity: keyof NodeRates;
  unit: string;
  points: { size: number; value: number }[];
  fit: Fit;
}

/** One term of a line. */
export interface Term {
  name: string;
  value: number;
  /** Standard error of the value, from the fit's. */
  error: number;
}

/** One line of the page. */
export interface CapacityLine {
  role: CapacityRole;
  quantity: string;
  unit: string;
  value: number;
  error: number;
  limit: number | null;
  over: boolean;
  mechanism: string;
  /** What would mend a line that is over, or what breaks first. */
  remark: string;
  terms: Term[];
}

/** What the lines are worked out from. */
export interface CapacityInput {
  sweeps: Sweep[];
  configurations: ConfigurationPoint[];
  /** Links of one node at the design size. */
  links: DesignLinks;
}

/** Links of each role at the design size, from the decision that chooses them. */
export interface DesignLinks {
  routersOfSidecar: number;
  sidecarsOfRouter: number;
  routersOfRouter: number;
}

const UNITS: Record<keyof NodeRates, string> = {
  cpu: 'cores',
  rssBytes: 'bytes',
  controlBytes: 'bytes/s',
  controlMessages: 'messages/s',
};

const CHANGES_PER_SECOND = DESIGN.changesPerDay / SECONDS_PER_DAY;
const REQUESTS_PER_ROUTER = DESIGN.requestsPerSecond / DESIGN.routers;
const REQUESTS_PER_SIDECAR = DESIGN.requestsPerSecond / DESIGN.sidecars;
const MS = 1_000;

/** All slopes of the sweeps, both roles and all quantities. */
export function measureSlopes(sweeps: readonly Sweep[]): MeasuredSlope[] {
  const quantities = Object.keys(UNITS) as (keyof NodeRates)[];
  return sweeps.flatMap((sweep) =>
    ([CapacityRole.Router, CapacityRole.Sidecar] as const).flatMap((role) =>
      quantities.map((quantity) => measureSlope(sweep, role, quantity)),
    ),
  );
}

function measureSlope(
  sweep: Sweep,
  role: MeasuredSlope['role'],
  quantity: keyof NodeRates,
): MeasuredSlope {
  const points = sweep.points.map((point) => ({ size: point.size, value: point[role][quantity] }));
  const fit = fitLine(points.map(({ size, value }) => ({ x: size, y: value })));
  return {
    sweep: sweep.name,
    varied: sweep.varied,
    role,
    quantity,
    unit: UNITS[quantity],
    points,
    fit,
  };
}

/** Finds the slopes of one role and adds terms up. */
class LineMaker {
  private readonly slopes: MeasuredSlope[];
  private readonly input: CapacityInput;

  constructor(input: CapacityInput) {
    this.input = input;
    this.slopes = measureSlopes(input.sweeps);
  }

  /** Slope times a quantity of the design. */
  times(
    role: MeasuredSlope['role'],
    sweep: SweepName,
    quantity: keyof NodeRates,
    count: number,
  ): Term {
    const { fit, varied } = this.find(role, sweep, quantity);
    const name = `${round(fit.slope)} × ${round(count)} (${varied})`;
    return { name, value: fit.slope * count, error: fit.slopeError * count };
  }

  /** The constant part of a line. */
  base(role: MeasuredSlope['role'], sweep: SweepName, quantity: keyof NodeRates): Term {
    const { fit } = this.find(role, sweep, quantity);
    return { name: `constant part (${sweep})`, value: fit.intercept, error: fit.residual };
  }

  configuration(pick: (point: ConfigurationPoint) => number): Fit {
    return fitLine(this.input.configurations.map((point) => ({ x: point.share, y: pick(point) })));
  }

  points(name: SweepName): SweepPoint[] {
    return this.input.sweeps.find((sweep) => sweep.name === name)?.points ?? [];
  }

  private find(
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

/** All lines of the page. */
export function projectLines(input: CapacityInput): CapacityLine[] {
  const maker = new LineMaker(input);
  return [
    ...routerLines(maker, input.links),
    ...sidecarLines(maker, input.links),
    ...fleetLines(maker),
  ];
}

function routerLines(maker: LineMaker, links: DesignLinks): CapacityLine[] {
  const role = CapacityRole.Router;
  const control = (quantity: keyof NodeRates): Term[] => [
    maker.base(role, SweepName.Sidecars, quantity),
    maker.times(role, SweepName.Sidecars, quantity, links.sidecarsOfRouter),
    maker.times(role, SweepName.Routers, quantity, links.routersOfRouter),
    maker.times(role, SweepName.Backlog, quantity, DESIGN.backloggedWorkspaces),
    maker.times(role, SweepName.Requests, quantity, REQUESTS_PER_ROUTER),
  ];
  const tokensPerSecond = DESIGN.tokensPerSecond / DESIGN.routers;
  return [
    makeLine({
      role,
      quantity: 'control volume',
      unit: 'bytes/s',
      limit: LIMITS.controlBytesPerSecond,
      terms: [...control('controlBytes'), documentTerm(maker)],
      mechanism: 'heartbeats, backlog notices, claims, reports, configuration documents',
      remark:
        'send changes of the configuration rather than whole documents; leave heartbeats out on busy links',
    }),
    makeLine({
      role,
      quantity: 'control messages',
      unit: 'messages/s',
      terms: control('controlMessages'),
      mechanism: 'the same',
      remark: 'grows with the sidecars linked to a router',
    }),
    makeLine({
      role,
      quantity: 'processor time of control',
      unit: 'cores',
      limit: LIMITS.controlCpu,
      terms: [
        maker.base(role, SweepName.Sidecars, 'cpu'),
        maker.times(role, SweepName.Sidecars, 'cpu', links.sidecarsOfRouter),
        maker.times(role, SweepName.Routers, 'cpu', links.routersOfRouter),
        parseTerm(maker),
      ],
      mechanism: 'links without load; parsing of each revision',
      remark: 'parsing of whole documents comes first',
    }),
    makeLine({
      role,
      quantity: 'processor time of requests and answers',
      unit: 'cores',
      terms: [
        maker.times(role, SweepName.Requests, 'cpu', REQUESTS_PER_ROUTER),
        maker.times(role, SweepName.Tokens, 'cpu', tokensPerSecond),
      ],
      mechanism: 'token frames from links to callers',
      remark: 'a router is one thread; over one core, more routers or fewer frames are needed',
    }),
    makeLine({
      role,
      quantity: 'memory',
      unit: 'bytes',
      limit: LIMITS.controlMemoryBytes,
      terms: [
        maker.base(role, SweepName.Sidecars, 'rssBytes'),
        maker.times(role, SweepName.Sidecars, 'rssBytes', links.sidecarsOfRouter),
        maker.times(role, SweepName.Routers, 'rssBytes', links.routersOfRouter),
        heapTerm(maker),
      ],
      mechanism: 'runtime and libraries, link buffers, the parsed configuration',
      remark:
        'the runtime alone takes most of it; the limit is for control, the figure is the whole process',
    }),
  ];
}

function sidecarLines(maker: LineMaker, links: DesignLinks): CapacityLine[] {
  const role = CapacityRole.Sidecar;
  const control = (quantity: keyof NodeRates): Term[] => [
    maker.base(role, SweepName.Routers, quantity),
    maker.times(role, SweepName.Routers, quantity, links.routersOfSidecar),
    maker.times(role, SweepName.Backlog, quantity, DESIGN.backloggedWorkspaces),
    maker.times(role, SweepName.Requests, quantity, REQUESTS_PER_SIDECAR),
  ];
  return [
    makeLine({
      role,
      quantity: 'control volume',
      unit: 'bytes/s',
      limit: LIMITS.controlBytesPerSecond,
      terms: [...control('controlBytes'), documentTerm(maker)],
      mechanism: 'heartbeats, backlog notices, claims, reports, configuration documents',
      remark: 'reports and totals that carry what changed alone; changes instead of documents',
    }),
    makeLine({
      role,
      quantity: 'control messages',
      unit: 'messages/s',
      terms: control('controlMessages'),
      mechanism: 'the same',
      remark: 'grows with the routers linked to a sidecar',
    }),
    makeLine({
      role,
      quantity: 'processor time of control',
      unit: 'cores',
      limit: LIMITS.controlCpu,
      terms: [
        maker.base(role, SweepName.Routers, 'cpu'),
        maker.times(role, SweepName.Routers, 'cpu', links.routersOfSidecar),
        parseTerm(maker),
      ],
      mechanism: 'links without load; parsing of each revision',
      remark: 'parsing of whole documents comes first',
    }),
    makeLine({
      role,
      quantity: 'memory',
      unit: 'bytes',
      limit: LIMITS.controlMemoryBytes,
      terms: [
        maker.base(role, SweepName.Routers, 'rssBytes'),
        maker.times(role, SweepName.Routers, 'rssBytes', links.routersOfSidecar),
        heapTerm(maker),
      ],
      mechanism: 'runtime and libraries, link buffers, the parsed configuration',
      remark: 'the runtime alone takes most of it',
    }),
  ];
}

function fleetLines(maker: LineMaker): CapacityLine[] {
  const role = CapacityRole.Fleet;
  const points = maker.points(SweepName.Routers);
  const calls = fitLine(
    points.map(({ size, serviceCallsPerSecond = 0 }) => ({ x: size, y: serviceCallsPerSecond })),
  );
  const change = fitLine(points.map(({ size, changeMs = 0 }) => ({ x: size, y: changeMs })));
  const bytes = maker.configuration((point) => point.documentBytes);
  return [
    makeLine({
      role,
      quantity: 'calls of the configuration service',
      unit: 'calls/s',
      limit: LIMITS.serviceCallsPerSecond,
      terms: [
        {
          name: `${round(calls.slope)} × ${DESIGN.routers} (routers that watch)`,
          value: calls.slope * DESIGN.routers,
          error: calls.slopeError * DESIGN.routers,
        },
        {
          name: `${round(CHANGES_PER_SECOND)} changes/s × ${DESIGN.routers} (watches answered)`,
          value: CHANGES_PER_SECOND * DESIGN.routers,
          error: 0,
        },
      ],
      mechanism: 'one watch for each router that watches',
      remark: 'a few watching routers in each data centre are enough; the rest hear it from peers',
    }),
    makeLine({
      role,
      quantity: 'time until a change is in force everywhere',
      unit: 'ms',
      limit: LIMITS.changeMs,
      terms: [
        { name: 'constant part, small documents', value: change.intercept, error: change.residual },
        parseHops(maker),
      ],
      mechanism: 'watch, then revision notices and fetches between neighbours',
      remark: 'each hop parses the document before it passes it on',
    }),
    makeLine({
      role,
      quantity: 'size of the configuration document',
      unit: 'bytes',
      limit: LIMITS.documentBytes,
      terms: [
        { name: 'constant part', value: bytes.intercept, error: bytes.residual },
        { name: 'workspaces and endpoints', value: bytes.slope, error: bytes.slopeError },
      ],
      mechanism: 'one TOML document with all workspaces and endpoints',
      remark: 'the largest value of the service is what breaks first as the fleet grows further',
    }),
  ];
}

/** Hops of the overlay at the design size, as its property test bounds them. */
const OVERLAY_HOPS = 8;

function parseHops(maker: LineMaker): Term {
  const parse = maker.configuration((point) => point.parseMs);
  const value = (parse.intercept + parse.slope) * OVERLAY_HOPS;
  return {
    name: `${OVERLAY_HOPS} hops × parsing of the design size's document`,
    value,
    error: parse.slopeError * OVERLAY_HOPS,
  };
}

function documentTerm(maker: LineMaker): Term {
  const bytes = maker.configuration((point) => point.documentBytes);
  const size = bytes.intercept + bytes.slope;
  return {
    name: `${round(CHANGES_PER_SECOND)} changes/s × ${round(size)} bytes of document`,
    value: CHANGES_PER_SECOND * size,
    error: CHANGES_PER_SECOND * bytes.slopeError,
  };
}

function parseTerm(maker: LineMaker): Term {
  const parse = maker.configuration((point) => point.parseMs);
  const size = parse.intercept + parse.slope;
  return {
    name: `${round(CHANGES_PER_SECOND)} changes/s × ${round(size)} ms of parsing`,
    value: (CHANGES_PER_SECOND * size) / MS,
    error: (CHANGES_PER_SECOND * parse.slopeError) / MS,
  };
}

function heapTerm(maker: LineMaker): Term {
  const heap = maker.configuration((point) => point.heapBytes);
  const text = maker.configuration((point) => point.documentBytes);
  return {
    name: 'parsed configuration and its text',
    value: heap.intercept + heap.slope + text.intercept + text.slope,
    error: heap.slopeError + text.slopeError,
  };
}

type LineDraft = Pick<
  CapacityLine,
  'role' | 'quantity' | 'unit' | 'mechanism' | 'remark' | 'terms'
> & { limit?: number };

function makeLine(draft: LineDraft): CapacityLine {
  const value = draft.terms.reduce((sum, term) => sum + term.value, 0);
  const error = Math.sqrt(draft.terms.reduce((sum, term) => sum + term.error ** 2, 0));
  const limit = draft.limit ?? null;
  return { ...draft, value, error, limit, over: limit !== null && value > limit };
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}
