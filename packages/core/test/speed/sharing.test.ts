/** Guards against speeds that peers tell without bound, that outlive them, or that earlier releases get. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('speed: updates between instances');

const IDS = Array.from({ length: 40 }, (_, at) => `u-${at}`);
const LISTED = IDS.map((id) => fixtures.aListedUpstream(id));
const PRESSURE = { features: new Set(['pressure']) };

type State = core.fleet.state.State;
type Row = core.speed.sharing.Row;

function aRow(upstream: string, changed: Partial<Row> = {}): Row {
  return { upstream, factor: 1.3, samples: 20, slowdown: undefined, ...changed };
}

function told(
  state: State,
  rows: readonly Row[],
  scope: core.speed.Scope = 'own',
  atMs = 1_000,
): State {
  const update = { from: 'instance-2', scope, rows };
  const message = { type: 'fleet.speed-update' as const, update };
  return fixtures.decided(state, message, fixtures.anInstant(atMs));
}

/** The state after an answer from each upstream, at these times. */
function answered(state: State, ids: readonly string[], atMs = 1_000): State {
  return ids.reduce((before, upstream) => {
    const requestId = `at-${upstream}`;
    const excludedUpstreams = IDS.filter((id) => id !== upstream);
    const request = fixtures.aPlacementRequest({ requestId, excludedUpstreams });
    fixtures.placedUpstream(before, request, fixtures.anInstant(atMs));
    const selfReport = fixtures.signals();
    return fixtures.decided(
      before,
      { type: 'fleet.upstream-responded', upstream, requestId, selfReport },
      fixtures.anInstant(atMs + 50),
    );
  }, state);
}

function sent(state: State, atMs: number): readonly core.speed.sharing.Update[] {
  return core.fleet
    .decide(state, { type: 'fleet.tick' }, fixtures.anInstant(atMs))
    .commands.flatMap((each) => (each.kind === 'send-speed-update' ? [each.update] : []));
}

function learned(state: State, id: string, atMs: number): core.speed.Level {
  const upstream = state.registry.upstreams.get(id);
  if (!upstream) throw new Error('the fleet has no such upstream');
  const service = core.speed.serviceModel.create();
  return core.speed.upstreamModel.learnedLevel(service, upstream.speed, atMs);
}

suite('a bounded number of upstreams is told at a time, and each of them in the end', () => {
  const state = answered(fixtures.aFleet(LISTED, PRESSURE), IDS);
  const updates = Array.from({ length: 12 }, (_, at) => sent(state, 2_000 + at * 500)).flat();
  const sizes = updates.map(({ rows }) => rows.length);
  assert.ok(Math.max(...sizes) <= 6, JSON.stringify(sizes));
  const names = updates.flatMap(({ rows }) => rows.map(({ upstream }) => upstream));
  assert.equal([...names].sort(), [...IDS].sort());
});

suite('nothing is told of a service without predictive load control', () => {
  assert.equal(sent(answered(fixtures.aFleet(LISTED), IDS), 2_000), []);
});

suite('a reader passes on what its group told, and followers use it', () => {
  const reader = told(fixtures.aFleet(LISTED, { ...PRESSURE, sharing: 'as-reader' }), [
    aRow('u-1'),
    aRow('u-2', { slowdown: { factor: 2.5, ageMs: 100 } }),
  ]);
  const updates = sent(reader, 1_200);
  assert.equal(
    updates.map(({ scope }) => scope),
    ['group', 'fleet'],
  );
  const fleet = updates.find(({ scope }) => scope === 'fleet');
  const follower = fixtures.aFleet(LISTED, { ...PRESSURE, sharing: 'through-reader' });
  const after = told(follower, fleet?.rows ?? [], 'fleet', 1_300);
  assert.ok(learned(after, 'u-1', 1_300).mean > 0.15);
  const report = after.registry.upstreams.get('u-2')?.speed.report;
  assert.ok(Math.abs((report?.value ?? 0) - Math.log(2.5)) < 1e-9);
  // 100 ms old when told to the reader, and 200 ms there.
  assert.is(Math.round(report?.atMs ?? 0), 1_000);
});

suite('what comes by another way than the instance listens to is ignored', () => {
  const state = told(fixtures.aFleet(LISTED, PRESSURE), [aRow('u-1')], 'fleet');
  assert.is(learned(state, 'u-1', 1_000).samples, 0);
});

/** Half of the instances may be gone: what they told must not hold for ever. */
suite('once peers are silent, what they told fades and own answers decide', () => {
  const state = told(fixtures.aFleet(LISTED, PRESSURE), [aRow('u-1', { factor: 3 })]);
  assert.ok(learned(state, 'u-1', 1_000).mean > 0.8);
  assert.ok(learned(state, 'u-1', 301_000).mean < 0.05);
  const later = answered(state, ['u-1', 'u-2'], 301_000);
  assert.ok(learned(later, 'u-1', 301_100).samples > 0);
});

suite('odd factors and unknown upstreams do no harm', () => {
  const rows = [
    aRow('nobody'),
    aRow('u-1', { factor: 0, samples: 1e15 }),
    aRow('u-2', { factor: 1e15, slowdown: { factor: 0, ageMs: 1e15 } }),
  ];
  const state = told(fixtures.aFleet(LISTED, PRESSURE), rows);
  ['u-1', 'u-2'].forEach((id) => assert.ok(Number.isFinite(learned(state, id, 1_000).mean)));
  assert.ok(fixtures.placedUpstream(state).startsWith('u-'));
});

suite.run();
