/** Responses of an old and a new version to the traffic of a whole deployment, in intervals. */
import * as core from '@medlarweir/core';
import * as generators from 'pure-rand/generator/xoroshiro128plus';

export type Fault =
  { kind: 'failing'; share: number; route: string | undefined } | { kind: 'slow'; factor: number };

export type Scenario = { instances: number; fault: Fault | undefined; seed: number };

export type Interval = {
  requests: number;
  sentToNext: number;
  failuresOfNext: number;
  cells: core.canary.Cells;
};

export const INTERVAL_MS = 500;
const REQUESTS_PER_S = 5;
const NOISE = 0.02;
const SERVICE_MS: Readonly<Record<string, number>> = { search: 43, checkout: 57, cart: 50 };
const ROUTES = Object.keys(SERVICE_MS);
const OTHER_ROUTE = 'cart';
const MAIN_ROUTE_SHARE = 0.6;

export type Random = () => number;

export function aRandom(seed: number): Random {
  const generator = generators.xoroshiro128plus(seed);
  const next = () => (generator.next() >>> 0) / 2 ** 32; // eslint-disable-line no-bitwise
  // Generators with seeds that are near each other begin alike.
  Array.from({ length: 20 }).forEach(next);
  return next;
}

/** One interval with this share of requests at the new version. */
export function play({ instances, fault }: Scenario, share: number, random: Random): Interval {
  const expected = (instances * REQUESTS_PER_S * INTERVAL_MS) / 1_000;
  const requests = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
  return Array.from({ length: requests }).reduce<Interval>(
    (interval) => addRequest(interval, fault, random() < share, random),
    { requests, sentToNext: 0, failuresOfNext: 0, cells: {} },
  );
}

function addRequest(
  interval: Interval,
  fault: Fault | undefined,
  isNext: boolean,
  random: Random,
): Interval {
  const at = random() < MAIN_ROUTE_SHARE ? 0 : 1 + Math.floor(random() * (ROUTES.length - 1));
  const route = ROUTES[at] ?? OTHER_ROUTE;
  const usualMs = (SERVICE_MS[route] ?? 50) * (0.6 + 0.8 * random());
  const isAffected =
    isNext && fault !== undefined && (fault.kind === 'slow' || (fault.route ?? route) === route);
  const isFailure =
    random() < NOISE || (isAffected && fault.kind === 'failing' && random() < fault.share);
  const latencyMs = isAffected && fault.kind === 'slow' ? usualMs * fault.factor : usualMs;
  const sample = {
    service: 'desk',
    softwareVersion: '',
    route,
    promptTokens: 0,
    isFailure,
    latencyMs,
  };
  return {
    ...interval,
    sentToNext: interval.sentToNext + (isNext ? 1 : 0),
    failuresOfNext: interval.failuresOfNext + (isNext && isFailure ? 1 : 0),
    cells: core.canary.evidence.record(interval.cells, sample, isNext ? 'next' : 'previous'),
  };
}
