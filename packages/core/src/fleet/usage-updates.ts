/** Exchanges the usage of client accounts with peers, and records who is above the fair share. */
import type * as task from '../kernel/task.js';
import * as shares from '../shares/index.js';
import type * as accountUsage from './account-usage.js';
import type * as decide from './decide.js';
import * as peerWork from './peer-work.js';
import type * as fleet from './state.js';

/** Overuse from which an account is recorded. */
const RECORDED_OVERUSE = 0.2;
/** Accounts in one record; the furthest above their share are named. */
const MAX_RECORDED = 8;

export function receive(state: fleet.State, update: shares.Update, now: task.Instant): void {
  const { instance, sharing, ledger } = state;
  if (update.from === instance || !peerWork.SCOPES_HEARD[sharing].includes(update.scope)) return;
  shares.updates.receive(ledger, update, now);
}

/** The updates that are due. Without a service under predictive load control there is no usage to tell. */
export function onTick(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  const { instance, sharing, ledger, outbox } = state;
  shares.updates.keepScopes(ledger, peerWork.SCOPES_HEARD[sharing]);
  shares.ledger.expire(ledger, now);
  const sender = { instance, incarnation: outbox.incarnation, sharing };
  const updates = shares.updates.take(ledger, sender, now);
  const sent = updates.map((update): decide.Command => ({ kind: 'send-usage-update', update }));
  // With the interval of the updates, so that the journal gets a line in each of them at most.
  return updates.length === 0 ? [] : [...sent, ...recordOveruse(state, now)];
}

function recordOveruse(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  const { ledger } = state;
  const accounts = [...ledger.own].flatMap(([service, sums]) =>
    shares.ledger.viewOf(ledger, service, now).refusedShare === 0
      ? []
      : [...sums.keys()].map((account): accountUsage.Overuse => {
          const overuse = shares.ledger.overuseOf(ledger, service, account, now);
          return { service, account: ledger.names.get(account) ?? account, overuse };
        }),
  );
  const above = accounts
    .filter(({ overuse }) => overuse >= RECORDED_OVERUSE)
    .sort((a, b) => b.overuse - a.overuse);
  return above.length === 0
    ? []
    : [{ kind: 'record-overuse', accounts: above.slice(0, MAX_RECORDED) }];
}
