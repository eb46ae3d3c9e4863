/** Estimates a new prompt's wait at an upstream; defines the inputs of routing decisions. */
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

/** Expected duration of a request ahead when all slots are occupied. */
export const EXPECTED_REQUEST_MS = 400;

/** Returns the expected wait for a slot or for the prefill ahead, whichever is longer. */
export function estimateMs(
  inputs: Inputs,
  upstream: schema.Upstream,
  priority: schema.Priority,
): number {
  const ahead = load.requestsAhead(inputs.load, upstream);
  const slotMs = Math.max(0, ahead + 1 - upstream.slots) * (EXPECTED_REQUEST_MS / upstream.slots);
  const { monotonicMs } = inputs.now;
  return Math.max(
    slotMs,
    prefillBacklogs.estimateWaitMs(inputs.work, upstream.name, priority, monotonicMs),
  );
}
