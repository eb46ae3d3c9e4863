/** What must hold for every request, whatever happened: judged by what callers and upstreams saw alone. */
import * as callers from './callers.js';

/** Lists the requests that broke a promise, or ran more than once. */
export function violationsOf(
  outcomes: readonly callers.Outcome[],
  runs: ReadonlyMap<string, number>,
): readonly string[] {
  const guarded = outcomes.filter(({ work }) => work.path !== '/safe/');
  const ofRequests = guarded.flatMap((outcome) =>
    violationOf(outcome, runs.get(outcome.id) ?? 0).map((text) => `${describe(outcome)}: ${text}`),
  );
  return [...ofRequests, ...ofOperations(guarded, runs)];
}

function violationOf({ end }: callers.Outcome, runs: number): readonly string[] {
  if (runs > 1) return [`ran ${runs} times`];
  switch (end.kind) {
    case 'answered':
      if (callers.promisesNotRun(end) && runs > 0) return ['ran, and was refused with a promise'];
      return end.status === 200 && runs === 0 ? ['answered, and did not run'] : [];
    case 'reset':
      return runs > 0 ? ['ran, and its connection was reset as if nobody had read it'] : [];
    case 'closed':
    case 'left':
      return [];
    default:
      throw new Error(`unexpected end: ${JSON.stringify(end satisfies never)}`);
  }
}

/** An operation whose caller kept to the rules runs once, however often it was sent. */
function ofOperations(
  outcomes: readonly callers.Outcome[],
  runs: ReadonlyMap<string, number>,
): readonly string[] {
  const byOperation = new Map<string, number>();
  outcomes.forEach(({ id, operation }) => {
    byOperation.set(operation, (byOperation.get(operation) ?? 0) + (runs.get(id) ?? 0));
  });
  return [...byOperation].flatMap(([operation, count]) =>
    count > 1 ? [`${operation}: its attempts ran ${count} times`] : [],
  );
}

function describe({ id, work, beganAtMs, endedAtMs, end }: callers.Outcome): string {
  const tookMs = Math.round(endedAtMs - beganAtMs);
  return `${work.path} ${id} (begun ${Math.round(beganAtMs)} ms, took ${tookMs} ms, ${JSON.stringify(end)})`;
}
