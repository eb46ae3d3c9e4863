/**
 * Waves of a rollout. Orders that are lost or carried out late must not hold up the upstreams behind
 * them until requests may no longer begin on the old weights.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rollouts: waves');
const { targets, chooseWaves } = core.rollouts;

const ROLLOUT_MS = 10_000;
const LOAD_MS = 1_200;

function candidates(count: number, version = 1) {
  return Array.from({ length: count }, (_, at) => ({ id: `u-${at}`, version }));
}

function wavesAt(nowMs: number, count = 69) {
  const moment = { now: fixtures.anInstant(nowMs), rolloutMs: ROLLOUT_MS };
  return chooseWaves('model-1', targets.create(2, fixtures.anInstant()), candidates(count), moment);
}

suite('waves grow until all upstreams that are left are in one, well before the bound', () => {
  assert.is(wavesAt(0).current.length, 7);
  assert.is(wavesAt(4_000).current.length, 7);
  assert.is(wavesAt(0, 13).current.length, 2);
  assert.ok(wavesAt(6_000).current.length > 30);
  assert.is(wavesAt(7_500).current.length, 69);
});

/** Guards against loading all upstreams at once since somebody set the wall clock. */
suite('a wall clock that is set ahead does not hurry a rollout', () => {
  const { monotonicMs, wallMs } = fixtures.anInstant(1_000);
  const moment = { now: { monotonicMs, wallMs: wallMs + 5_000 }, rolloutMs: ROLLOUT_MS };
  const target = targets.create(2, fixtures.anInstant());
  assert.is(chooseWaves('model-1', target, candidates(13), moment).current.length, 2);
});

suite('both waves are disjoint and hold only upstreams with older weights', () => {
  const property = fc.property(
    fc.integer({ min: 1, max: 100 }),
    fc.nat(100),
    fc.nat(12_000),
    (behind, ahead, nowMs) => {
      const newer = candidates(ahead, 2).map((each) => ({ ...each, id: `n-${each.id}` }));
      const all = [...candidates(behind), ...newer];
      const moment = { now: fixtures.anInstant(nowMs), rolloutMs: ROLLOUT_MS };
      const { current, next } = chooseWaves(
        'model-1',
        targets.create(2, fixtures.anInstant()),
        all,
        moment,
      );
      const chosen = [...current, ...next];
      assert.ok(current.length > 0);
      assert.is(new Set(chosen).size, chosen.length);
      assert.ok(chosen.every((id) => id.startsWith('u-')));
    },
  );
  fc.assert(property, fixtures.seeded());
});

/** Loads take `LOAD_MS`; the upstreams named by `isStuck` never load. */
function outdatedAtBound(count: number, isStuck: (id: string) => boolean): number {
  const versions = new Map(candidates(count).map(({ id }) => [id, 1]));
  for (let nowMs = 0; nowMs < ROLLOUT_MS; nowMs += LOAD_MS) {
    const all = [...versions].map(([id, version]) => ({ id, version }));
    const moment = { now: fixtures.anInstant(nowMs), rolloutMs: ROLLOUT_MS };
    const { current } = chooseWaves(
      'model-1',
      targets.create(2, fixtures.anInstant()),
      all,
      moment,
    );
    current.filter((id) => !isStuck(id)).forEach((id) => versions.set(id, 2));
  }
  return [...versions].filter(([id, version]) => version === 1 && !isStuck(id)).length;
}

suite('upstreams whose orders come late do not hold up the others beyond the bound', () => {
  const isStuck = (id: string) => Number(id.slice(2)) % 3 === 0;
  [13, 42, 69, 98].forEach((count) => assert.is(outdatedAtBound(count, isStuck), 0, `${count}`));
});

suite('an upstream is outdated from the first version that is newer than its own', () => {
  const first = targets.update(new Map(), { 'model-1': 2 }, fixtures.anInstant(1_000));
  const second = targets.update(first, { 'model-1': 3 }, fixtures.anInstant(3_000)).get('model-1');
  const now = fixtures.anInstant(5_000);
  assert.is(targets.outdatedForMs(second, 1, now), 4_000);
  assert.is(targets.outdatedForMs(second, 2, now), 2_000);
  assert.is(targets.outdatedForMs(second, 3, now), undefined);
});

suite.run();
