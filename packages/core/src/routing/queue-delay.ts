/** How long a new prompt waits at an upstream, and what the routing decisions look at. */
import type * as schema from '../configuration/schema.js';
import type * as links from '../links/index.js';
import * as load from '../load/index.js';
import type * as eligibility from './eligibility.js';
import type * as upstreamIndex from './upstream-index.js';
import * as prefillBacklogs from './prefill-backlogs.js';

export type Inputs = eligibility.Inputs & {
  links: links.Links;
  work: prefillBacklogs.Backlogs;
  fleet: upstreamIndex.Index;
};

/** Expected time that a request ahead takes where all slots are taken. */
export const EXPECTED_REQUEST_MS = 400;

/** Expected wait for a slot and for the prefill ahead. */
export function estimateMs(
  views: Inputs,
  upstream: schema.Upstream,
  priority: schema.Priority,
): number {
  const ahead = load.requestsAhead(views.load, upstream);
  const slotMs = Math.max(0, ahead + 1 - upstream.slots) * (EXPECTED_REQUEST_MS / upstream.slots);
  const { monotonicMs } = views.now;
  return Math.max(
    slotMs,
    prefillBacklogs.estimateWaitMs(views.work, upstream.name, priority, monotonicMs),
  );
}
