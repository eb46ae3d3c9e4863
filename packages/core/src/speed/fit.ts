/**
 * Fits what the first event of an answer takes: a constant part (round trip, first step, overhead of the
 * engine), a part for each token to prefill and one for each request that runs beside it. Relative
 * errors are minimised, so that short prompts count as much as long ones. Memory is constant.
 */
import type * as types from './types.js';

/** Share of the earlier samples that a new one leaves; about a hundred samples make up a fit. */
const RETENTION = 0.99;
/**
 * Samples that speak for a part being 0, in the order of `regressorsOf`. While all prompts are alike,
 * their time is thereby attributed to their tokens rather than to other parts.
 */
const RIDGES: readonly number[] = [0.1, 0.01, 0.1, 1, 1];
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

export type Sample = { work: types.Work; factor: types.LogFactor; tookMs: number };

export function create(): types.Fit {
  return {
    products: RIDGES.map(() => RIDGES.map(() => 0)),
    targets: RIDGES.map(() => 0),
    samples: 0,
    coefficients: toCoefficients([]),
    errorShare: INITIAL_ERROR_SHARE,
  };
}

/** The part of the time that the speed of the upstream scales, at the usual speed. */
export function scaledMs(coefficients: types.Coefficients, work: types.Work): number {
  const { msPerToken, msPerRunning } = coefficients;
  const own = work.tokens - work.peerTokens;
  return own * msPerToken + aheadMs(coefficients, work) + msPerRunning * work.running;
}

/** The part of it for the tokens that peers have ahead. */
export function aheadMs(
  { msPerToken, msPerTokenUsual, msPerTokenOutdated }: types.Coefficients,
  { peerTokens, usualPeerTokens }: Pick<types.Work, 'peerTokens' | 'usualPeerTokens'>,
): number {
  const told = Math.max(0, msPerToken - msPerTokenOutdated) * peerTokens;
  return told + msPerTokenUsual * usualPeerTokens;
}

export function expectedMs(
  coefficients: types.Coefficients,
  work: types.Work,
  factor: types.LogFactor,
): number {
  return coefficients.constantMs + scaledMs(coefficients, work) * Math.exp(factor);
}

export function add(fit: types.Fit, { work, factor, tookMs }: Sample): void {
  const regressors = regressorsOf(work, Math.exp(factor));
  const isFirst = fit.samples === 0;
  const expected = isFirst ? tookMs : Math.max(1, expectedMs(fit.coefficients, work, factor));
  const error = Math.abs(Math.log(tookMs / expected));
  const usual = HUBER_MULTIPLE * fit.errorShare;
  const weight = (error > usual ? usual / error : 1) / expected ** 2;
  const share = Math.max(ERROR_WEIGHT, 1 / (fit.samples + 2));
  const limited = Math.min(error, fit.errorShare * MAX_ERROR_MULTIPLE);
  Object.assign(fit, {
    products: fit.products.map((row, at) =>
      row.map(
        (sum, other) => sum * RETENTION + weight * (regressors[at] ?? 0) * (regressors[other] ?? 0),
      ),
    ),
    targets: fit.targets.map(
      (sum, at) => sum * RETENTION + weight * (regressors[at] ?? 0) * tookMs,
    ),
    samples: fit.samples * RETENTION + 1,
    errorShare: Math.max(MIN_ERROR_SHARE, fit.errorShare + (limited - fit.errorShare) * share),
  });
  Object.assign(fit, { coefficients: solve(fit) });
}

function regressorsOf(
  { tokens, running, usualPeerTokens, peerTokens }: types.Work,
  scale: number,
): readonly number[] {
  return [1, tokens * scale, running * scale, usualPeerTokens * scale, -peerTokens * scale];
}

/** Least squares without negative coefficients, by coordinate descent from the last solution. */
function solve({ products, targets, samples, coefficients }: types.Fit): types.Coefficients {
  const solution = fromCoefficients(coefficients);
  for (let sweep = 0; sweep < SWEEPS; sweep += 1) {
    products.forEach((row, at) => {
      const own = (row[at] ?? 0) * (1 + (RIDGES[at] ?? 0) / samples);
      const all = row.reduce((sum, each, other) => sum + each * (solution[other] ?? 0), 0);
      const others = all - (row[at] ?? 0) * (solution[at] ?? 0);
      solution[at] = own > 0 ? Math.max(0, ((targets[at] ?? 0) - others) / own) : 0;
    });
  }
  return toCoefficients(solution);
}

function toCoefficients(solution: readonly number[]): types.Coefficients {
  const [constantMs = 0, msPerToken = 0, msPerRunning = 0, usual = 0, outdated = 0] = solution;
  return {
    constantMs,
    msPerToken,
    msPerRunning,
    msPerTokenUsual: usual,
    msPerTokenOutdated: outdated,
  };
}

function fromCoefficients(coefficients: types.Coefficients): number[] {
  const { constantMs, msPerToken, msPerRunning } = coefficients;
  const { msPerTokenUsual, msPerTokenOutdated } = coefficients;
  return [constantMs, msPerToken, msPerRunning, msPerTokenUsual, msPerTokenOutdated];
}
