/** How one upstream differs from its service: a level, and a deviation that decays. */
import * as level from './level.js';
import * as reports from './reports.js';
import type * as types from './types.js';

/** Samples that speak for the usual speed; differences of a few samples are mostly noise. */
const LEVEL_PRIOR = 3;
/** Squared logarithms that speak against levels before there is evidence. */
export const LEVEL_DOUBT = 0.1;
/** What peers told is half forgotten after this long without news of them. */
const HEARD_HALF_LIFE_MS = 30_000;

export function create(): types.UpstreamModel {
  return {
    level: level.NONE,
    deviation: undefined,
    report: undefined,
    confirmation: reports.UNCONFIRMED,
    heard: new Map(),
    loadAtMs: -Infinity,
    sampledAtMs: undefined,
  };
}

/**
 * The upstream's level against the mean of its service, from own answers and from those of peers, as far
 * as levels have predicted answers.
 */
export function currentLevel(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  nowMs: number,
): types.Level {
  const { mean, samples } = learnedLevel(service, upstream, nowMs);
  const share = reports.confirmedShare(service.levelConfirmation, LEVEL_DOUBT);
  return { mean: mean * share, samples };
}

export function learnedLevel(
  service: types.ServiceModel,
  { level: own, heard }: types.UpstreamModel,
  nowMs: number,
): types.Level {
  const told = [...heard.values()].map((each) => fading(each, nowMs));
  return level.combine([relative(service, own), ...told], LEVEL_PRIOR);
}

/** A level from own answers, against the mean of the service. */
export function relative(
  { usualShown }: types.ServiceModel,
  { mean, samples }: types.Level,
): types.Level {
  return { mean: samples > 0 ? mean - usualShown.mean : 0, samples };
}

export function fading({ level: told, atMs }: types.Heard, nowMs: number): types.Level {
  const share = 0.5 ** (Math.max(0, nowMs - atMs) / HEARD_HALF_LIFE_MS);
  return { mean: told.mean, samples: told.samples * share };
}

/** The present factor of the upstream on the time that its work takes. */
export function factor(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  nowMs: number,
): types.LogFactor {
  const { report, deviation } = upstream;
  const { mean } = currentLevel(service, upstream, nowMs);
  const share = reports.share(service, upstream);
  const reported = report
    ? share *
      reports.decayed(
        { ...report, value: level.clamp(report.value, service.confirmedExtent) },
        nowMs,
      )
    : 0;
  const shown = deviation ? (1 - share) * reports.decayed(deviation, nowMs) : 0;
  return mean + reported + shown;
}

/** Keeps the newest of reported slowdowns. */
export function recordReport(upstream: types.UpstreamModel, report: types.Dated): void {
  if (upstream.report && upstream.report.atMs > report.atMs) return;
  Object.assign(upstream, { report });
}
