/**
 * How far a reported slowdown counts. Answers confirm it: its share is the regression of what the
 * answers showed on what was reported, and its extent is the largest slowdown in which both agreed. A
 * false or frozen figure therefore counts no more than the answers support.
 */
import * as level from './level.js';
import type * as types from './types.js';

/**
 * A slow spell of some hundred milliseconds is on average half over when it is seen, and what is
 * known of it is worth a third after this long.
 */
export const DECAY_MS = 300;
const RETENTION = 0.98;
/** Squared logarithms that speak against a report before there is evidence; one clear slow spell has 0.84. */
export const DOUBT = 0.5;
const EXTENT_RETENTION = 0.99;
/** Reports up to this extent may be tested before any has been confirmed: 1.35 times the usual time. */
const MIN_TESTED_EXTENT = 0.3;

export const UNCONFIRMED: types.Confirmation = { cross: 0, square: 0 };

export function decayed({ value, atMs }: types.Dated, nowMs: number): types.LogFactor {
  return value * Math.exp(-Math.max(0, nowMs - atMs) / DECAY_MS);
}

/** Share of a reported slowdown that counts at an upstream: that of its service until it differs. */
export function share(
  service: types.ServiceModel,
  { confirmation: { cross, square } }: types.UpstreamModel,
): number {
  const usual = confirmedShare(service.confirmation, DOUBT);
  return unit((cross + DOUBT * usual) / (square + DOUBT));
}

/** What a slowdown reported just now counts for. */
export function confirmed(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  reported: types.LogFactor,
): types.LogFactor {
  return share(service, upstream) * level.clamp(reported, service.confirmedExtent);
}

/** Compares what an answer showed with the slowdown reported at that time. */
export function confirm(
  service: types.ServiceModel,
  upstream: types.UpstreamModel,
  { reported, shown, weight }: { reported: types.LogFactor; shown: number; weight: number },
): void {
  const agreed = Math.max(0, Math.min(reported, shown));
  Object.assign(service, {
    confirmedExtent: Math.max(service.confirmedExtent * EXTENT_RETENTION, agreed),
  });
  const tested = level.clamp(reported, Math.max(service.confirmedExtent, MIN_TESTED_EXTENT));
  [service, upstream].forEach((each) => {
    const evidence = { predicted: tested, shown, weight, retention: RETENTION };
    Object.assign(each, { confirmation: added(each.confirmation, evidence) });
  });
}

export function added(
  { cross, square }: types.Confirmation,
  evidence: { predicted: number; shown: number; weight: number; retention: number },
): types.Confirmation {
  const { predicted, shown, weight, retention } = evidence;
  return {
    cross: cross * retention + weight * shown * predicted,
    square: square * retention + weight * predicted ** 2,
  };
}

/** From 0, nothing is confirmed, to 1, all; `doubt` is the evidence against it before there is any. */
export function confirmedShare({ cross, square }: types.Confirmation, doubt: number): number {
  return unit(cross / (square + doubt));
}

function unit(value: number): number {
  return Math.min(1, Math.max(0, value));
}
