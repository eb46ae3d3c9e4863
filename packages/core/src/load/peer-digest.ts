/**
 * Load digests between instances: they name upstreams that refused work although they were reported
 * warm. Each instance sends only refusals that it received itself, so that a suspicion is not
 * passed on and ends with the instance that saw it first.
 */
import * as zod from 'zod';

import * as attemptOrder from '../cold-starts/attempt-order.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as view from './view.js';

/** Maximum number of upstreams in one digest. */
const MAX_UPSTREAMS = 32;

const digestSchema = zod.object({ refusedBy: zod.array(zod.string().max(64)).max(MAX_UPSTREAMS) });

/** Returns the own refusals in a bounded form, or `undefined` if there are none. */
export function buildDigest(of: view.LoadView, now: task.Instant): unknown {
  void now;
  const refusedBy = [...of.upstreams]
    .filter(([, { doubt }]) => doubt.kind === 'refused')
    .map(([name]) => name)
    .slice(0, MAX_UPSTREAMS);
  return refusedBy.length === 0 ? undefined : { refusedBy };
}

/** Applies a peer's digest; one that does not match the schema is dropped. */
export function applyDigest(
  to: view.LoadView,
  from: string,
  digest: unknown,
  now: task.Instant,
): void {
  void from;
  const checked = digestSchema.safeParse(digest);
  if (!checked.success) return;
  checked.data.refusedBy
    .filter((name) => to.upstreams.has(name))
    .map((name) => view.ensureUpstream(to, name))
    .filter(({ doubt }) => doubt.kind === 'none')
    .forEach((load) => Object.assign(load, { doubt: { kind: 'told', sinceMs: now.monotonicMs } }));
}

/** Applies a change of the set of live instances. */
export function applyMembership(
  to: view.LoadView,
  members: readonly messages.Member[],
  now: task.Instant,
): void {
  void now;
  const own: attemptOrder.Instance = { name: to.ownName, dataCentre: '' };
  Object.assign(to, { instances: attemptOrder.listPossiblyAlive(own, members) });
}
