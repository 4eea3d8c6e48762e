/** Fits lines to the resource use of processes over the quantity that a sweep varies. */
import { fitLine } from '@poplarpick/load';
import type { LineFit } from '@poplarpick/load';
import type { NodeRates } from './node-rates.ts';
import type { Sweep, SweepName } from './sweeps.ts';

/** Roles whose resource use is reported. */
export enum CapacityRole {
  Router = 'router',
  Sidecar = 'sidecar',
  Fleet = 'fleet',
}

/** Line fitted to one measured quantity of one role over the varied quantity of a sweep. */
export interface MeasuredSlope {
  sweep: SweepName;
  varied: string;
  role: CapacityRole.Router | CapacityRole.Sidecar;
  quantity: keyof NodeRates;
  unit: string;
  points: { size: number; value: number }[];
  fit: LineFit;
}

const UNITS: Record<keyof NodeRates, string> = {
  cpu: 'cores',
  rssBytes: 'bytes',
  anonBytes: 'bytes',
  controlBytes: 'bytes/s',
  controlMessages: 'messages/s',
};

/** Fits the slopes of all sweeps for both roles and all quantities. */
export function fitSlopes(sweeps: readonly Sweep[]): MeasuredSlope[] {
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
