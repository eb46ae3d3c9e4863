/**
 * Guards against a refusal for good, or access for a revoked credential, on an instance whose routing
 * table is stale: it was disconnected or suspended and has missed changes.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: access');
const BOUNDS = { revocationMs: 5_000, adoptionMs: 2_000, evacuationMs: 5_000 };

type RequestChanges = Partial<core.gateway.request.Request>;

function aTable(): core.gateway.access.Known {
  const anonymous = fixtures.aRoute({ pathPrefix: '/open/', isAnonymous: true });
  const table = fixtures.aRoutingTable({ routes: [fixtures.aRoute(), anonymous] });
  const at = fixtures.anInstant();
  const confirmations = { tableAt: at, evacuationsAt: at };
  return { index: core.gateway.routes.buildIndex(table), confirmations };
}

function outcome(changes: RequestChanges, now: core.kernel.Instant, table = aTable()): string {
  const decision = core.gateway.access.check(table, fixtures.aGatewayRequest(changes), BOUNDS, now);
  return decision.kind === 'denied' ? decision.code : 'allowed';
}

const CASES: readonly (readonly [string, RequestChanges, number, string])[] = [
  ['a known credential with a fresh table is allowed', {}, 100, 'allowed'],
  ['a known credential within the revocation bound is allowed', {}, 4_300, 'allowed'],
  [
    'a known credential past the revocation bound is refused temporarily',
    {},
    4_500,
    'configurationUnsure',
  ],
  [
    'an unknown credential with a fresh table is unauthorized',
    { credential: 'x' },
    100,
    'unauthorized',
  ],
  [
    'no credential with a fresh table is unauthorized',
    { credential: undefined },
    100,
    'unauthorized',
  ],
  [
    'an unknown credential with a stale table is refused temporarily',
    { credential: 'x' },
    2_100,
    'configurationUnsure',
  ],
  [
    'an unknown route with a fresh table is refused for good',
    { path: '/z/' },
    1_900,
    'unknownRoute',
  ],
  [
    'an unknown route with a stale table is refused temporarily',
    { path: '/z/' },
    2_100,
    'configurationUnsure',
  ],
  [
    'an anonymous route with a table of any age is allowed',
    { path: '/open/', credential: undefined },
    60_000,
    'allowed',
  ],
];

CASES.forEach(([name, changes, ageMs, expected]) => {
  suite(name, () => assert.is(outcome(changes, fixtures.anInstant(ageMs)), expected));
});

suite('an instance without a configuration refuses temporarily', () => {
  const confirmations = { tableAt: undefined, evacuationsAt: undefined };
  const table = { index: undefined, confirmations };
  assert.is(outcome({}, fixtures.anInstant(), table), 'configurationUnsure');
});

suite('a suspension that the monotonic clock misses still ages the confirmation', () => {
  const { wallMs } = fixtures.anInstant(6_000);
  assert.is(outcome({}, { monotonicMs: 10, wallMs }), 'configurationUnsure');
});

suite('a wall clock that is set back does not make the confirmation younger', () => {
  const { monotonicMs } = fixtures.anInstant(6_000);
  const { wallMs } = fixtures.anInstant(-60_000);
  assert.is(outcome({}, { monotonicMs, wallMs }), 'configurationUnsure');
});

suite('an older table never replaces a newer one', () => {
  const now = fixtures.anInstant();
  const bounds = {
    ...BOUNDS,
    ...fixtures.DRAIN_BOUNDS,
    retryWindowMs: 10_000,
    retryRatio: 0.2,
    retryExtra: 50,
  };
  const adopt = (state: core.gateway.decide.State, version: number) =>
    core.gateway.decide.decide(
      state,
      { type: 'gateway.table-read', table: fixtures.aRoutingTable({ version }), askedAt: now },
      now,
    ).state;
  const state = [5, 3, 7, 6].reduce(adopt, core.gateway.decide.initial(bounds, now));
  assert.is(state.known.index?.table.version, 7);
});

suite.run();
