/** Rows of updates about canary releases, and their distribution over datagrams. */
import type * as core from '@medlarweir/core';

import type * as schemas from './schemas.js';

type Update = core.canary.Update;
type Report = core.canary.Report;

/** A packet of 1,472 bytes, less the signature, the name of the sender and the brackets. */
const MAX_ROWS_BYTES = 1_200;

export function toRows({ scope, reports }: Update): schemas.CanaryRows {
  return [scope, reports.map(toRow)];
}

export function fromRows(from: string, [scope, rows]: schemas.CanaryRows): Update {
  return { from, scope, reports: rows.map(fromRow) };
}

function toRow(report: Report): schemas.ReleaseRow {
  const { service, to, step, isBad, ageMs, instances, stepInForce, previousInFlight } = report;
  const cells = Object.entries(report.cells).map(([name, { next, previous }]): schemas.CellRow => [
    name,
    toCounts(next),
    toCounts(previous),
  ]);
  const age = Math.round(ageMs);
  return [service, to, step, isBad, age, instances, stepInForce, previousInFlight, cells];
}

function fromRow([
  service,
  to,
  step,
  isBad,
  ageMs,
  instances,
  stepInForce,
  previousInFlight,
  cellRows,
]: schemas.ReleaseRow): Report {
  const cells = Object.fromEntries(
    cellRows.map(([name, next, previous]) => [
      name,
      { next: fromCounts(next), previous: fromCounts(previous) },
    ]),
  );
  return { service, to, step, isBad, ageMs, instances, stepInForce, previousInFlight, cells };
}

/** Latencies of one kind of requests are near each other: the leading empty bins are only counted. */
function toCounts({ responses, failures, latencies }: core.canary.Counts): schemas.CountsRow {
  const first = latencies.findIndex((each) => each > 0);
  return first < 0
    ? [responses, failures, 0, []]
    : [responses, failures, first, latencies.slice(first)];
}

function fromCounts([responses, failures, first, counted]: schemas.CountsRow): core.canary.Counts {
  const latencies = [...Array.from({ length: first }, () => 0), ...counted];
  return { responses, failures, latencies };
}

/** Updates that each fit into a packet: one for each release, and more for one with many kinds of requests. */
export function split({ from, scope, reports }: Update): readonly Update[] {
  return reports
    .flatMap((report) => splitReport(report))
    .map((report) => ({ from, scope, reports: [report] }));
}

function splitReport(report: Report): readonly Report[] {
  const entries = Object.entries(report.cells);
  const size = Buffer.byteLength(JSON.stringify(toRow(report)));
  if (size <= MAX_ROWS_BYTES || entries.length <= 1) return [report];
  const half = Math.ceil(entries.length / 2);
  return [entries.slice(0, half), entries.slice(half)].flatMap((part) =>
    splitReport({ ...report, cells: Object.fromEntries(part) }),
  );
}
