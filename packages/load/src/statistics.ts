/** Statistics of measurements: median and range of repeated runs, and least-squares line fits. */

/** A measured value `y` at size `x`. */
export interface Point {
  x: number;
  y: number;
}

/** A least-squares line through measurements. */
export interface LineFit {
  slope: number;
  intercept: number;
  /** Standard error of the slope. */
  slopeError: number;
  /** Root mean square of the residuals, in units of y. */
  residual: number;
}

/** Median, minimum and maximum of several runs. */
export interface Spread {
  median: number;
  least: number;
  most: number;
}

/** Fits a line by least squares. Throws for fewer than three points or if all have the same x. */
export function fitLine(points: readonly Point[]): LineFit {
  const count = points.length;
  if (count < 3) throw new Error('a line fit with a standard error needs at least three points');
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const sumXX = sum(points.map(({ x }) => (x - meanX) ** 2));
  if (sumXX === 0) throw new Error('a line fit needs points of different sizes');
  const slope = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / sumXX;
  const intercept = meanY - slope * meanX;
  const squares = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  const slopeError = Math.sqrt(squares / (count - 2) / sumXX);
  return { slope, intercept, slopeError, residual: Math.sqrt(squares / count) };
}

/** Computes the median, minimum and maximum. Throws if there are no values. */
export function computeSpread(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const [least] = sorted;
  const most = sorted.at(-1);
  if (least === undefined || most === undefined)
    throw new Error('cannot compute the spread of an empty list');
  const middle = (sorted.length - 1) / 2;
  const median = ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2;
  return { median, least, most };
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

/** Sum of the values; 0 without any. */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
