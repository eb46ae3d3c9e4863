/** Encodes the speed of upstreams as rows of whole numbers. */
import type * as core from '@medlarweir/core';

import type * as schemas from './schemas.js';

type Update = core.speed.sharing.Update;
type Row = core.speed.sharing.Row;

const PERCENT = 100;
const SAMPLE_STEPS = 10;

export function toTuple({ from, scope, rows }: Update): schemas.SpeedBody {
  return ['speeds', from, scope, rows.map(toRow)];
}

function toRow({ upstream, factor, samples, slowdown }: Row): schemas.SpeedRow {
  const known: [string, number, number] = [
    upstream,
    Math.round(factor * PERCENT),
    Math.round(samples * SAMPLE_STEPS),
  ];
  if (!slowdown) return known;
  return [...known, Math.round(slowdown.factor * PERCENT), Math.round(slowdown.ageMs)];
}

export function fromTuple([, from, scope, rows]: schemas.SpeedBody): Update {
  return { from, scope, rows: rows.map(fromRow) };
}

function fromRow([upstream, percent, samples, slowdownPercent, ageMs]: schemas.SpeedRow): Row {
  return {
    upstream,
    factor: percent / PERCENT,
    samples: samples / SAMPLE_STEPS,
    slowdown:
      slowdownPercent === undefined || ageMs === undefined
        ? undefined
        : { factor: slowdownPercent / PERCENT, ageMs },
  };
}
