/**
 * What instances tell each other about load: upstreams that have refused work though they were
 * reported warm. Each tells only what it met itself, so that a doubt ends with its first witness.
 */
import * as zod from 'zod';

import * as attemptOrder from '../cold-starts/attempt-order.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as view from './view.js';

/** The most upstreams that one digest names. */
const MAX_NAMED = 32;

const digestSchema = zod.object({ refusedBy: zod.array(zod.string().max(64)).max(MAX_NAMED) });

/** The own view in a bounded form for peers, or nothing if there is no news. */
export function buildDigest(of: view.LoadView, now: task.Instant): unknown {
  void now;
  const refusedBy = [...of.upstreams]
    .filter(([, { doubt }]) => doubt.kind === 'refused')
    .map(([name]) => name)
    .slice(0, MAX_NAMED);
  return refusedBy.length === 0 ? undefined : { refusedBy };
}

/** Takes in a peer's digest; anything that does not have the shape is dropped. */
export function applyDigest(
  to: view.LoadView,
  from: string,
  found: unknown,
  now: task.Instant,
): void {
  void from;
  const checked = digestSchema.safeParse(found);
  if (!checked.success) return;
  checked.data.refusedBy
    .filter((name) => to.upstreams.has(name))
    .map((name) => view.ensureUpstream(to, name))
    .filter(({ doubt }) => doubt.kind === 'none')
    .forEach((load) => Object.assign(load, { doubt: { kind: 'told', sinceMs: now.monotonicMs } }));
}

/** The set of live instances has changed. */
export function applyMembership(
  to: view.LoadView,
  members: readonly messages.Member[],
  now: task.Instant,
): void {
  void now;
  const own: attemptOrder.Instance = { name: to.ownName, dataCentre: '' };
  Object.assign(to, { instances: attemptOrder.listPossiblyAlive(own, members) });
}
