/**
 * Orders upstreams of equal cost by power of two choices. Instances that follow the same lagging
 * reports would all pick the least loaded upstream, so each draws two and prefers the less loaded.
 */
import * as uniform from 'pure-rand/distribution/uniformInt';

import type * as schema from '../configuration/schema.js';
import * as view from './view.js';

/** Orders upstreams for one request. Advances the view's random generator in place. */
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

/** Returns the requests ahead per slot. */
function loadPerSlot(of: view.LoadView, upstream: schema.Upstream): number {
  return view.requestsAhead(of, upstream) / upstream.slots;
}
