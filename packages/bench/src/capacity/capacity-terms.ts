/**
 * Terms of the projected resource use. A term is a measured constant, or a measured slope times a quantity of
 * the design size.
 */
import { fitLine } from '@poplarpick/load';
import type { LineFit } from '@poplarpick/load';
import type { ConfigurationPoint } from './configuration-cost.ts';
import { DESIGN_SIZE, SECONDS_PER_DAY } from './design-size.ts';
import type { NodeRates } from './node-rates.ts';
import { fitSlopes } from './slopes.ts';
import type { MeasuredSlope } from './slopes.ts';
import { SweepName } from './sweeps.ts';
import type { Sweep, SweepPoint } from './sweeps.ts';

/** One summand of a line. */
export interface CapacityTerm {
  name: string;
  value: number;
  /** Standard error of the value, from the fit. */
  error: number;
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

/** Changes of the configuration at the design size, a second. */
export const CHANGES_PER_SECOND = DESIGN_SIZE.changesPerDay / SECONDS_PER_DAY;

/** Builds terms from the measured slopes. */
export class TermBuilder {
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

/** Term of the cost that configuration changes at the design size cause on one node. */
export function configurationChangeTerm(
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

/** Term of the memory that holds the configuration at the design size. */
export function configurationMemoryTerm(builder: TermBuilder): CapacityTerm {
  const heapBytes = builder.fitConfigurations((point) => point.heapBytes);
  const documentBytes = builder.fitConfigurations((point) => point.documentBytes);
  return {
    name: 'parsed configuration and its text',
    value: heapBytes.intercept + heapBytes.slope + documentBytes.intercept + documentBytes.slope,
    error: heapBytes.slopeError + documentBytes.slopeError,
  };
}

/** Rounds a number for the name of a term. */
export function round(value: number): number {
  return Number(value.toPrecision(3));
}
