/** Learns from answers how fast a service and its upstreams work. Updates models in place. */
import * as results from '../results/index.js';
import * as fit from './fit.js';
import * as level from './level.js';
import * as reports from './reports.js';
import type * as types from './types.js';
import * as upstreamModel from './upstream-model.js';

/** Limit on one sample's distance from a level, as a multiple of the usual error. */
const OUTLIER_MULTIPLE = 2.5;
/** A sample in which the upstream's speed has less than this part of the time tells nothing of it. */
const MIN_SCALED_SHARE = 0.1;
/** Limit on the factor that one answer shows: four times as fast or slow. */
const MAX_SHOWN = Math.log(4);
/** Share of the newest answer in the deviation. */
const DEVIATION_WEIGHT = 0.5;
/** Share of the newest plain answer in the usual error. */
const PLAIN_ERROR_WEIGHT = 0.05;
/** A slowdown that was reported with the answer, or at most this long before it, is compared with it. */
const COMPARED_REPORT_MS = 100;

export function create(): types.ServiceModel {
  return {
    fit: fit.create(),
    confirmation: reports.UNCONFIRMED,
    confirmedExtent: 0,
    plainWork: level.NONE,
    requiredTokensPerMs: 0,
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
  { tokens, running, blockedMs }: Extract<types.Forecast, { kind: 'prompt' }>,
  tookMs: number,
  nowMs: number,
): void {
  const { coefficients, samples } = service.fit;
  const unblockedMs = Math.max(tookMs / 2, tookMs - blockedMs);
  const reported = reportedNow(upstream, nowMs);
  const usual = upstreamModel.currentLevel(upstream, nowMs).mean;
  const scaledMs = fit.scaledMs(coefficients, { tokens, running }) * Math.exp(usual);
  const share = scaledMs / (coefficients.constantMs + scaledMs);
  if (samples > 0 && share >= MIN_SCALED_SHARE) {
    const measured = Math.max(1e-3, (unblockedMs - coefficients.constantMs) / scaledMs);
    const shown = level.clamp(Math.log(measured), MAX_SHOWN);
    recordShown(service, upstream, { usual, shown, reported, weight: share ** 2 }, nowMs);
  }
  const explained = reported === undefined ? 0 : reports.confirmed(service, upstream, reported);
  const factor = usual + explained;
  fit.add(service.fit, { tokens, running, factor, tookMs: unblockedMs });
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
  const usual = upstreamModel.currentLevel(upstream, nowMs).mean;
  const {
    plainWork,
    fit: { errorShare },
  } = service;
  const isFirst = plainWork.samples === 0;
  const shown = isFirst ? 0 : level.clamp(Math.log(servedMs) - plainWork.mean - usual, MAX_SHOWN);
  recordShown(service, upstream, { usual, shown, reported, weight: 1 }, nowMs);
  const explained = reported === undefined ? 0 : reports.confirmed(service, upstream, reported);
  const limit = OUTLIER_MULTIPLE * errorShare;
  const added = Math.log(servedMs) - usual - explained;
  const options = { weight: 1, limit };
  Object.assign(service, { plainWork: level.add(plainWork, added, options) });
  const error = Math.min(Math.abs(shown - explained), errorShare * OUTLIER_MULTIPLE);
  Object.assign(service.fit, {
    errorShare: errorShare + (error - errorShare) * PLAIN_ERROR_WEIGHT,
  });
}

type Shown = { usual: number; shown: number; reported: number | undefined; weight: number };

/** `shown`: how far the answer was from the usual; `reported`: the slowdown reported with it. */
function recordShown(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  { usual, shown, reported, weight }: Shown,
  nowMs: number,
): void {
  if (reported !== undefined) reports.confirm(service, upstream, { shown, reported, weight });
  const explained = reported === undefined ? 0 : reports.confirmed(service, upstream, reported);
  const { deviation, level: own } = upstream;
  const before = deviation ? reports.decayed(deviation, nowMs) : 0;
  const value = before + (shown - before) * DEVIATION_WEIGHT * weight;
  const limit = OUTLIER_MULTIPLE * service.fit.errorShare;
  const unexplained = usual + level.clamp(shown - explained, limit);
  Object.assign(upstream, {
    deviation: { value, atMs: nowMs },
    level: level.add(own, unexplained, { weight, limit }),
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
