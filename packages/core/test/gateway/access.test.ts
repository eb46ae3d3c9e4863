import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: access');
const BOUNDS = { revocationMs: 5_000, adoptionMs: 2_000 };

type Asked = Partial<core.gateway.request.Request>;

function aTable(): core.gateway.access.ActiveTable {
  const anonymous = fixtures.aRoute({ pathPrefix: '/open/', isAnonymous: true });
  const table = fixtures.aRoutingTable({ routes: [fixtures.aRoute(), anonymous] });
  return { index: core.gateway.routes.buildIndex(table), confirmedAt: fixtures.anInstant() };
}

function outcome(asked: Asked, now: core.kernel.Instant, table = aTable()): string {
  const found = core.gateway.access.check(table, fixtures.aGatewayRequest(asked), BOUNDS, now);
  return found.kind === 'denied' ? found.code : 'allowed';
}

const CASES: readonly (readonly [string, Asked, number, string])[] = [
  ['a known key, fresh', {}, 100, 'allowed'],
  ['a known key within the bound', {}, 4_300, 'allowed'],
  ['a known key past the bound', {}, 4_500, 'configurationUnsure'],
  ['an unknown key, fresh', { credential: 'x' }, 100, 'unauthorized'],
  ['no key, fresh', { credential: undefined }, 100, 'unauthorized'],
  ['an unknown key, not fresh', { credential: 'x' }, 2_100, 'configurationUnsure'],
  ['an unknown route, fresh', { path: '/z/' }, 1_900, 'unknownRoute'],
  ['an unknown route, not fresh', { path: '/z/' }, 2_100, 'configurationUnsure'],
  ['an anonymous route at any age', { path: '/open/', credential: undefined }, 60_000, 'allowed'],
];

CASES.forEach(([name, asked, ageMs, expected]) => {
  suite(name, () => assert.is(outcome(asked, fixtures.anInstant(ageMs)), expected));
});

suite('an instance that has read no configuration denies nothing for good', () => {
  const table = { index: undefined, confirmedAt: undefined };
  assert.is(outcome({}, fixtures.anInstant(), table), 'configurationUnsure');
});

suite('a suspension, which the monotonic clock does not see, ages the confirmation', () => {
  const { wallMs } = fixtures.anInstant(6_000);
  assert.is(outcome({}, { monotonicMs: 10, wallMs }), 'configurationUnsure');
});

suite('a wall clock that was set back does not make the confirmation younger', () => {
  const { monotonicMs } = fixtures.anInstant(6_000);
  const { wallMs } = fixtures.anInstant(-60_000);
  assert.is(outcome({}, { monotonicMs, wallMs }), 'configurationUnsure');
});

suite('an older table never replaces a newer one', () => {
  const now = fixtures.anInstant();
  const bounds = { ...BOUNDS, retryWindowMs: 10_000, retryRatio: 0.2, retryExtra: 50 };
  const adopt = (state: core.gateway.decide.State, version: number) =>
    core.gateway.decide.decide(
      state,
      { type: 'gateway.table-read', table: fixtures.aRoutingTable({ version }), askedAt: now },
      now,
    ).state;
  const state = [5, 3, 7, 6].reduce(adopt, core.gateway.decide.initial(bounds, now));
  assert.is(state.table.index?.table.version, 7);
});

suite.run();
