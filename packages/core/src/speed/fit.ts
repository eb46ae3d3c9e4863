/**
 * Fits what the first event of an answer takes: a constant part (round trip, first step, overhead of the
 * engine), a part for each token to prefill and one for each request that runs beside it. Relative
 * errors are minimised, so that short prompts count as much as long ones. Memory is constant.
 */
import type * as types from './types.js';

/** Share of the earlier samples that a new one leaves; about a hundred samples make up a fit. */
const RETENTION = 0.99;
/**
 * Samples that speak for a part being 0. While all prompts are alike, their time is thereby attributed
 * to their tokens rather than to the constant part.
 */
const RIDGES = [0.1, 0.01, 0.1] as const;
/** Rounds of coordinate descent; each starts from the last solution, which is close. */
const SWEEPS = 12;
/** Errors beyond this multiple of the usual one weigh less, in proportion (Huber's estimator). */
const HUBER_MULTIPLE = 1.5;
/** Limit on one error in the mean error, as a multiple of it. */
const MAX_ERROR_MULTIPLE = 3;
const ERROR_WEIGHT = 0.05;
/** Error that is assumed before there are samples. */
const INITIAL_ERROR_SHARE = 0.5;
const MIN_ERROR_SHARE = 0.02;

export type Sample = { tokens: number; running: number; factor: types.LogFactor; tookMs: number };

export function create(): types.Fit {
  return {
    products: [
      [0, 0, 0],
      [0, 0, 0],
      [0, 0, 0],
    ],
    targets: [0, 0, 0],
    samples: 0,
    coefficients: { constantMs: 0, msPerToken: 0, msPerRunning: 0 },
    errorShare: INITIAL_ERROR_SHARE,
  };
}

/** The part of the time that the speed of the upstream scales, at the usual speed. */
export function scaledMs(
  { msPerToken, msPerRunning }: types.Coefficients,
  { tokens, running }: Pick<Sample, 'tokens' | 'running'>,
): number {
  return msPerToken * tokens + msPerRunning * running;
}

export function expectedMs(
  coefficients: types.Coefficients,
  sample: Omit<Sample, 'tookMs'>,
): number {
  return coefficients.constantMs + scaledMs(coefficients, sample) * Math.exp(sample.factor);
}

export function add(fit: types.Fit, sample: Sample): void {
  const { tokens, running, factor, tookMs } = sample;
  const scale = Math.exp(factor);
  const regressors = [1, tokens * scale, running * scale] as const;
  const expected = fit.samples === 0 ? tookMs : Math.max(1, expectedMs(fit.coefficients, sample));
  const error = Math.abs(Math.log(tookMs / expected));
  const usual = HUBER_MULTIPLE * fit.errorShare;
  const weight = (error > usual ? usual / error : 1) / expected ** 2;
  const { products, targets } = fit;
  INDICES.forEach((row) => {
    INDICES.forEach((column) => {
      products[row][column] =
        products[row][column] * RETENTION + weight * regressors[row] * regressors[column];
    });
    targets[row] = targets[row] * RETENTION + weight * regressors[row] * tookMs;
  });
  const share = Math.max(ERROR_WEIGHT, 1 / (fit.samples + 2));
  const limited = Math.min(error, fit.errorShare * MAX_ERROR_MULTIPLE);
  Object.assign(fit, {
    samples: fit.samples * RETENTION + 1,
    errorShare: Math.max(MIN_ERROR_SHARE, fit.errorShare + (limited - fit.errorShare) * share),
  });
  Object.assign(fit, { coefficients: solve(fit) });
}

const INDICES = [0, 1, 2] as const;

/** Least squares without negative coefficients, by coordinate descent from the last solution. */
function solve({ products, targets, samples, coefficients }: types.Fit): types.Coefficients {
  const { constantMs, msPerToken, msPerRunning } = coefficients;
  const solution: [number, number, number] = [constantMs, msPerToken, msPerRunning];
  for (let sweep = 0; sweep < SWEEPS; sweep += 1) {
    INDICES.forEach((at) => {
      const own = products[at][at] * (1 + RIDGES[at] / samples);
      const others = INDICES.reduce<number>(
        (sum, other) => sum + (other === at ? 0 : products[at][other] * solution[other]),
        0,
      );
      solution[at] = own > 0 ? Math.max(0, (targets[at] - others) / own) : 0;
    });
  }
  const [constant, perToken, perRunning] = solution;
  return { constantMs: constant, msPerToken: perToken, msPerRunning: perRunning };
}
