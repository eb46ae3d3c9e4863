/** What instances tell each other about load, so that together they keep an upstream's limits. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import type * as view from './view.js';

/** The own view in a bounded form for peers, or nothing if there is no news. */
export function digest(of: view.LoadView, now: task.Instant): unknown {
  void of;
  void now;
  return undefined;
}

/** Takes in a peer's digest; anything that does not have the shape is dropped. */
export function applyDigest(
  to: view.LoadView,
  from: string,
  found: unknown,
  now: task.Instant,
): void {
  void to;
  void from;
  void found;
  void now;
}

/** The set of live instances has changed. */
export function applyMembership(
  to: view.LoadView,
  members: readonly messages.Member[],
  now: task.Instant,
): void {
  void to;
  void members;
  void now;
}
