/** Statistics of measurements: median and spread of repeated runs, and lines fitted through sizes. */

/** A measurement at one size. */
export interface Point {
  x: number;
  y: number;
}

/** A line through measurements, by least squares. */
export interface LineFit {
  slope: number;
  intercept: number;
  /** Standard error of the slope. */
  slopeError: number;
  /** Root mean square distance of the measurements from the line, in units of y. */
  residual: number;
}

/** Median with the least and the most of several runs. */
export interface Spread {
  median: number;
  least: number;
  most: number;
}

/** Fits a line. Throws for fewer than three points or where all have the same x. */
export function fitLine(points: readonly Point[]): LineFit {
  const count = points.length;
  if (count < 3) throw new Error('a fit with an error needs three points or more');
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const sumXX = sum(points.map(({ x }) => (x - meanX) ** 2));
  if (sumXX === 0) throw new Error('a fit needs different sizes');
  const slope = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / sumXX;
  const intercept = meanY - slope * meanX;
  const squares = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  const slopeError = Math.sqrt(squares / (count - 2) / sumXX);
  return { slope, intercept, slopeError, residual: Math.sqrt(squares / count) };
}

/** Median, least and most. Throws where there is no value. */
export function computeSpread(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const [least] = sorted;
  const most = sorted.at(-1);
  if (least === undefined || most === undefined) throw new Error('no values');
  const middle = (sorted.length - 1) / 2;
  const median = ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2;
  return { median, least, most };
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
