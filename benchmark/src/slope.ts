/** Computes how a cost grows with size. */

export type Point = { x: number; y: number };

/** Returns the slope of the least-squares line. */
export function slopeOf(points: readonly Point[]): number {
  const mean = (pick: (point: Point) => number) =>
    points.reduce((sum, point) => sum + pick(point), 0) / points.length;
  const [meanX, meanY] = [mean(({ x }) => x), mean(({ y }) => y)];
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  return covariance / variance;
}
