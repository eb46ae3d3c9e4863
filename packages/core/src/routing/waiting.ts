/** How long a new prompt waits at an upstream, and what the routing decisions look at. */
import type * as schema from '../configuration/schema.js';
import type * as links from '../links/index.js';
import * as load from '../load/index.js';
import type * as eligible from './eligible.js';
import * as workAhead from './work-ahead.js';

export type Views = eligible.Views & { links: links.Links; work: workAhead.WorkAhead };

/** Expected time that a request ahead takes where all slots are taken. */
export const REQUEST_AHEAD_MS = 400;

/** Expected wait for a slot and for the prefill ahead. */
export function waitMs(views: Views, upstream: schema.Upstream, priority: schema.Priority): number {
  const ahead = load.requestsAhead(views.load, upstream);
  const slotMs = Math.max(0, ahead + 1 - upstream.slots) * (REQUEST_AHEAD_MS / upstream.slots);
  const { monotonicMs } = views.now;
  return Math.max(slotMs, workAhead.waitMs(views.work, upstream.name, priority, monotonicMs));
}
