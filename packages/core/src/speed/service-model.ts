/** Learns from answers how fast a service and its upstreams work. Updates models in place. */
import * as results from '../results/index.js';
import * as fit from './fit.js';
import * as level from './level.js';
import * as reports from './reports.js';
import type * as types from './types.js';
import * as upstreamModel from './upstream-model.js';

/** Limit on one sample's distance from a level, as a multiple of the usual error. */
const OUTLIER_MULTIPLE = 2.5;
/** A sample in which the prompt's own tokens have less than this part of the time tells nothing of the speed. */
const MIN_SCALED_SHARE = 0.1;
/** Limit on the factor that one answer shows: four times as fast or slow. */
const MAX_SHOWN = Math.log(4);
/** Share of the newest answer in the deviation. */
const DEVIATION_WEIGHT = 0.5;
/** Share of the newest plain answer in the usual error. */
const PLAIN_ERROR_WEIGHT = 0.05;
/**
 * Weight of an answer that came later than expected, for the level. Queues that nobody knew of delay
 * answers and none hastens them, so the early ones tell more of the upstream's speed.
 */
const LATE_WEIGHT = 0.25;
/** Of the evidence that levels predict answers; some hundred samples count. */
const LEVEL_RETENTION = 0.997;
/** Share of a sample in the mean over all upstreams, which thereby follows about a hundred samples. */
const SERVICE_SHARE = 0.3;
/** A slowdown that was reported with the answer, or at most this long before it, is compared with it. */
const COMPARED_REPORT_MS = 100;

export function create(): types.ServiceModel {
  return {
    fit: fit.create(),
    usualShown: level.NONE,
    levelConfirmation: reports.UNCONFIRMED,
    confirmation: reports.UNCONFIRMED,
    confirmedExtent: 0,
    plainWork: level.NONE,
    requiredTokensPerMs: 0,
    usualPeerTokens: { tokens: 0, atMs: -Infinity },
    residence: level.NONE,
  };
}

/** Adds the time to the first event of an attempt; ignores times that no clock gives. */
export function recordSample(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  { forecast, tookMs }: { forecast: types.Forecast; tookMs: number },
  nowMs: number,
): void {
  if (!(tookMs > 0)) return;
  switch (forecast.kind) {
    case 'prompt':
      recordPrompt(service, upstream, forecast, tookMs, nowMs);
      break;
    case 'plain':
      recordPlain(service, upstream, forecast, tookMs, nowMs);
      break;
    default:
      results.assertNever(forecast);
  }
  Object.assign(upstream, { sampledAtMs: nowMs });
}

function recordPrompt(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  { work, ownTokens, blockedMs }: Extract<types.Forecast, { kind: 'prompt' }>,
  tookMs: number,
  nowMs: number,
): void {
  const { coefficients, samples } = service.fit;
  const unblockedMs = Math.max(tookMs / 2, tookMs - blockedMs);
  const reported = reportedNow(upstream, nowMs);
  const usual = upstreamModel.currentLevel(service, upstream, nowMs).mean;
  const scaledMs = fit.scaledMs(coefficients, work);
  const ownMs = coefficients.msPerToken * ownTokens;
  const share = ownMs / Math.max(1, coefficients.constantMs + scaledMs);
  if (samples > 0 && share >= MIN_SCALED_SHARE) {
    const measured = Math.max(1e-3, (unblockedMs - coefficients.constantMs) / scaledMs);
    const total = level.clamp(Math.log(measured), MAX_SHOWN);
    recordShown(
      service,
      upstream,
      { usual, total, reported, weight: share ** 2, lateWeight: LATE_WEIGHT },
      nowMs,
    );
  }
  const explained = reported === undefined ? 0 : reports.confirmed(service, upstream, reported);
  const factor = usual + explained;
  fit.add(service.fit, { work, factor, tookMs: unblockedMs });
}

function recordPlain(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  { waitMs }: Extract<types.Forecast, { kind: 'plain' }>,
  tookMs: number,
  nowMs: number,
): void {
  const servedMs = Math.max(tookMs / 2, tookMs - waitMs);
  const reported = reportedNow(upstream, nowMs);
  const usual = upstreamModel.currentLevel(service, upstream, nowMs).mean;
  const {
    plainWork,
    fit: { errorShare },
  } = service;
  const isFirst = plainWork.samples === 0;
  const total = isFirst ? 0 : level.clamp(Math.log(servedMs) - plainWork.mean, MAX_SHOWN);
  const answer = { usual, total, reported, weight: 1, lateWeight: 1 };
  if (!isFirst) recordShown(service, upstream, answer, nowMs);
  const explained = reported === undefined ? 0 : reports.confirmed(service, upstream, reported);
  const limit = OUTLIER_MULTIPLE * errorShare;
  const added = Math.log(servedMs) - usual - explained;
  const options = { weight: 1, limit };
  Object.assign(service, { plainWork: level.add(plainWork, added, options) });
  const error = Math.min(Math.abs(total - usual - explained), errorShare * OUTLIER_MULTIPLE);
  Object.assign(service.fit, {
    errorShare: errorShare + (error - errorShare) * PLAIN_ERROR_WEIGHT,
  });
}

type Shown = {
  usual: number;
  total: number;
  reported: number | undefined;
  weight: number;
  lateWeight: number;
};

/**
 * `total`: how far the answer was from the fit; `usual`: the upstream's level; `reported`: the slowdown
 * reported with it.
 */
function recordShown(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  { usual, total, reported, weight, lateWeight }: Shown,
  nowMs: number,
): void {
  const { usualShown } = service;
  const shown = total - usualShown.mean - usual;
  if (reported !== undefined) reports.confirm(service, upstream, { shown, reported, weight });
  const explained = reported === undefined ? 0 : reports.confirmed(service, upstream, reported);
  const { mean: learned } = upstreamModel.learnedLevel(service, upstream, nowMs);
  Object.assign(service, {
    levelConfirmation: reports.added(service.levelConfirmation, {
      predicted: learned,
      shown: total - usualShown.mean - explained,
      weight,
      retention: LEVEL_RETENTION,
    }),
  });
  const { deviation, level: own } = upstream;
  const before = deviation ? reports.decayed(deviation, nowMs) : 0;
  const value = before + (shown - before) * DEVIATION_WEIGHT * weight;
  const limit = OUTLIER_MULTIPLE * service.fit.errorShare;
  const unexplained = total - explained;
  const isLate = shown > explained;
  const options = { weight: isLate ? weight * lateWeight : weight, limit };
  const inService = { ...options, weight: options.weight * SERVICE_SHARE };
  Object.assign(service, { usualShown: level.add(usualShown, unexplained, inService) });
  Object.assign(upstream, {
    deviation: { value, atMs: nowMs },
    level: level.add(own, unexplained, options),
  });
}

function reportedNow({ report }: types.UpstreamModel, nowMs: number): number | undefined {
  return report && nowMs - report.atMs <= COMPARED_REPORT_MS ? report.value : undefined;
}

/** Adds the time in which an answered prompt occupied its upstream. */
export function recordResidence(service: types.ServiceModel, tookMs: number): void {
  if (!(tookMs > 0)) return;
  const options = { weight: 1, limit: MAX_SHOWN };
  Object.assign(service, { residence: level.add(service.residence, Math.log(tookMs), options) });
}

/** In ms; 0 before the first sample. */
export function levelMs({ mean, samples }: types.Level): number {
  return samples === 0 ? 0 : Math.exp(mean);
}
