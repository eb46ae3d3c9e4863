/** What an instance takes from a call to the platform that failed. */
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as backoff from './backoff.js';
import * as watches from './watches.js';

export function onFailed(
  state: watches.State,
  watch: watches.Watch,
  failure: results.Failure,
  now: task.Instant,
): watches.Step {
  const failures = watch.failures + 1;
  // Pages from before and after a failure do not belong together.
  const position =
    watch.position.kind === 'listing'
      ? watches.startOfListing(watch.position.askedAt)
      : watch.position;
  const reason = results.describe(failure);
  const isOutage = failures > 1 || wasUnanswered(watch, now);
  const failureMessages = watch.subscribers.map((subscriber): watches.Command => {
    const { prefix } = subscriber;
    const message = { type: 'platform.watch-failed' as const, prefix, reason, isOutage };
    return { kind: 'send-failure', reader: subscriber, message };
  });
  const outage: readonly watches.Command[] = state.isAvailable
    ? [{ kind: 'record-lost', reason }]
    : [];
  const unavailableSinceMs = state.isAvailable ? now.monotonicMs : state.unavailableSinceMs;
  const delayMs = backoff.delayMs(state.instance, watch.kind, failures);
  return {
    state: {
      ...watches.withWatch(state, {
        ...watch,
        failures,
        position,
        unchangedAt: unchangedInOutage(watch),
      }),
      isAvailable: false,
      unavailableSinceMs,
    },
    commands: [
      ...outage,
      ...failureMessages,
      { kind: 'poll-later', objectKind: watch.kind, run: watch.run, delayMs },
    ],
  };
}

/** Whether the call waited for longer than the platform may hold it, rather than being cut off. */
function wasUnanswered({ pace, position }: watches.Watch, now: task.Instant): boolean {
  return now.monotonicMs - position.askedAt.monotonicMs > pace.waitMs;
}

/**
 * The second failure in a row is one on a new connection, so the store is away. Bounds on its changes count
 * only while it is there, and whoever made changes in the meantime is heard of when it is back.
 */
function unchangedInOutage({ failures, position, unchangedAt, isCatchingUp }: watches.Watch) {
  const isKnown = Number.isFinite(unchangedAt.monotonicMs);
  // A call that catches up has a change behind it that is known to have been made.
  return failures > 0 && isKnown && !isCatchingUp ? position.askedAt : unchangedAt;
}
