/** Where each request that waits stands among the others, see `core/shares/order`. */
import type * as task from '../kernel/task.js';
import * as returns from '../returns/index.js';
import * as shares from '../shares/index.js';
import type * as fleet from './state.js';
import * as waitClaims from './wait-claims.js';

type Entry = shares.waitingQueue.Entry<waitClaims.Waiter>;

function standingOf(state: fleet.State, entry: Entry, now: task.Instant): shares.order.Standing {
  const { service, enteredAtMs, waiting: waiter } = entry;
  const { clientAccount, content, waiting } = waiter.placementRequest;
  const account = shares.ledger.keyOf(clientAccount);
  return {
    isLate: !waitClaims.isStillPossible(waiter, now),
    rank: waiting.rank,
    overuse: shares.ledger.overuseOf(state.ledger, service, account, now),
    isReturn: returns.slots.hasPrecedence(content, waiting.routeTimeoutMs, now.wallMs),
    enteredAtMs,
  };
}

export function sorted(
  state: fleet.State,
  entries: readonly Entry[],
  now: task.Instant,
): readonly Entry[] {
  return entries
    .map((entry) => ({ entry, standing: standingOf(state, entry, now) }))
    .sort((a, b) => shares.order.compare(a.standing, b.standing))
    .map(({ entry }) => entry);
}
