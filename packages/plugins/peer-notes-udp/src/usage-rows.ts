/** Rows of the updates about usage by client account. Amounts are rounded; smaller ones count for nothing. */
import type * as core from '@medlarweir/core';

import type * as schemas from './schemas.js';

export function toTuple(update: core.shares.Update): schemas.UsageTuple {
  const { from, incarnation, sentAtMs, scope, services } = update;
  return [
    'usage',
    from,
    incarnation,
    Math.round(sentAtMs),
    scope,
    services.map(({ service, accounts, rest }) => [
      service,
      accounts.map(({ account, amounts }) => [
        account,
        Math.round(amounts.used),
        Math.round(amounts.refused),
      ]),
      [rest.accounts, Math.round(rest.used), Math.round(rest.refused)],
    ]),
  ];
}

export function fromTuple([
  ,
  from,
  incarnation,
  sentAtMs,
  scope,
  rows,
]: schemas.UsageTuple): core.shares.Update {
  const services = rows.map(([service, accounts, [count, used, refused]]) => ({
    service,
    accounts: accounts.map(([account, itsUsed, itsRefused]) => ({
      account,
      amounts: { used: itsUsed, refused: itsRefused },
    })),
    rest: { accounts: count, used, refused },
  }));
  return { from, incarnation, sentAtMs, scope, services };
}
