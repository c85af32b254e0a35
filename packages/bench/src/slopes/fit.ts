/** Least-squares fits of measured points. */

/** One measured point: the cost at a size. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** A straight line through points. */
export interface LineFit {
  readonly intercept: number;
  readonly slope: number;
  /** Share of the variance that the line explains; 1 if there is no variance. */
  readonly r2: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Fits cost = intercept + slope x size.
 *
 * @throws Error when there are fewer than two different sizes.
 */
export function fitLine(points: readonly Point[]): LineFit {
  const meanSize = mean(points.map(point => point.size));
  const meanCost = mean(points.map(point => point.cost));
  let covariance = 0;
  let sizeVariance = 0;
  let costVariance = 0;
  for (const {size, cost} of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    sizeVariance += (size - meanSize) ** 2;
    costVariance += (cost - meanCost) ** 2;
  }
  if (points.length < 2 || sizeVariance === 0) {
    throw new Error('A fit needs at least two points of different size.');
  }
  const slope = covariance / sizeVariance;
  const r2 = costVariance === 0 ? 1 : (slope * covariance) / costVariance;
  return {intercept: meanCost - slope * meanSize, slope, r2};
}

/**
 * Fits cost = factor x size^exponent by a line through the logarithms, and
 * returns the exponent.
 *
 * @throws Error when a size or cost is not above zero.
 */
export function fitPower(points: readonly Point[]): number {
  if (points.some(({size, cost}) => size <= 0 || cost <= 0)) {
    throw new Error('A power fit needs sizes and costs above 0.');
  }
  const logs = points.map(({size, cost}) => ({
    size: Math.log(size),
    cost: Math.log(cost),
  }));
  return fitLine(logs).slope;
}
