/** What a dump shows of the models. Times are monotonic. */
import type * as fleet from '../fleet/state.js';
import type * as upstreams from '../fleet/upstream.js';
import * as reports from './reports.js';
import * as serviceModel from './service-model.js';
import * as upstreamModel from './upstream-model.js';

/** Factors are rounded to this part. */
const STEPS = 100;

export function describeUpstream({ speed }: upstreams.Upstream): unknown {
  const { level, report, sampledAtMs, heard } = speed;
  return {
    fromTheFit: rounded(Math.exp(level.mean)),
    samples: rounded(level.samples),
    sampledAtMs,
    told: [...heard].map(([scope, { level: told, atMs }]) => ({
      scope,
      level: rounded(Math.exp(told.mean)),
      samples: rounded(told.samples),
      atMs,
    })),
    slowdown: report && { factor: rounded(Math.exp(report.value)), atMs: report.atMs },
  };
}

export function describeServices(speeds: fleet.State['speeds']): unknown {
  return Object.fromEntries(
    [...speeds].map(([name, model]) => [
      name,
      {
        fit: model.fit.coefficients,
        errorShare: rounded(model.fit.errorShare),
        usual: rounded(Math.exp(model.usualShown.mean)),
        plainMs: rounded(serviceModel.levelMs(model.plainWork)),
        reportsConfirmed: rounded(reports.confirmedShare(model.confirmation, reports.DOUBT)),
        levelsConfirmed: rounded(
          reports.confirmedShare(model.levelConfirmation, upstreamModel.LEVEL_DOUBT),
        ),
      },
    ]),
  );
}

function rounded(value: number): number {
  return Math.round(value * STEPS) / STEPS;
}
