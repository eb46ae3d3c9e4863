/**
 * The order in which upstreams of equal cost are taken. Instances that follow the same lagging
 * reports would all take the least loaded one, so each draws two and prefers the better of them.
 */
import * as uniform from 'pure-rand/distribution/uniformInt';

import type * as schema from '../configuration/schema.js';
import * as view from './view.js';

/** Orders upstreams for one request. Draws from the view's generator, which it advances in place. */
export function orderByTwoChoices(
  of: view.LoadView,
  upstreams: readonly schema.Upstream[],
): readonly schema.Upstream[] {
  const byLoad = [...upstreams].sort((a, b) => loadPerSlot(of, a) - loadPerSlot(of, b));
  if (byLoad.length <= 2) return byLoad;
  const last = byLoad.length - 1;
  const first = uniform.uniformInt(of.generator, 0, last);
  const second = uniform.uniformInt(of.generator, 0, last);
  const drawn = [...new Set([Math.min(first, second), Math.max(first, second)])];
  const rest = byLoad.filter((_, at) => !drawn.includes(at));
  return [...drawn.flatMap((at) => byLoad[at] ?? []), ...rest];
}

/** Requests ahead for each slot. */
function loadPerSlot(of: view.LoadView, upstream: schema.Upstream): number {
  return view.requestsAhead(of, upstream) / upstream.slots;
}
