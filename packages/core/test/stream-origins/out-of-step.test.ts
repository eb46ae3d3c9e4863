/**
 * Guards against an instance out of step that takes a stream of a version it has not heard of for one of the
 * only version that it knows.
 */
import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('origins of streams, at an instance out of step');

const STEP_MS = 50;
/** Lists of this age and less are not outdated. */
const MAX_AGE_MS = 3_000;
/** By then a stream that was just begun is recorded. */
const RECORDED_MS = 150;
const ANSWERED_MS = 1_300;
/** A record that was written before is too old to count. */
const QUIET_MS = 40_000;
/** For as long an instance without the store takes requests with a credential. */
const LAG_MS = 4_400;

type World = ReturnType<typeof fixtures.aStreamOriginsWorld>;

/** Instance 1 takes up a stream of v2, which joined this long ago without its knowledge. */
function originAfter(
  behindMs: number,
  keepBehind: (world: World) => void,
): core.streamOrigins.Origin | undefined {
  const world = fixtures.aStreamOriginsWorld(2);
  world.advance(1_000);
  keepBehind(world);
  world.release(['v1', 'v2']);
  world.advance(RECORDED_MS);
  world.begin(0, 'stream', 'v2');
  world.advance(behindMs);
  const found = world.find(1, 'stream');
  world.advance(ANSWERED_MS);
  return found.origin;
}

function steps(): readonly number[] {
  return Array.from({ length: MAX_AGE_MS / STEP_MS + 1 }, (_, at) => at * STEP_MS);
}

suite('with a list of any age, the records of others are read', () => {
  steps().forEach((behindMs) => {
    const origin = originAfter(behindMs, (world) => world.leaveBehind(1));
    const recorded = { kind: 'known', version: 'v2', evidence: 'recorded' };
    // Until it is recorded, the stream may be refused.
    if (origin?.kind === 'known' || behindMs >= RECORDED_MS) {
      assert.equal(origin, recorded, `${behindMs} ms`);
    }
  });
});

suite('without the store, the version is not guessed', () => {
  steps().forEach((behindMs) => {
    const origin = originAfter(behindMs, (world) => world.cutOff(1));
    assert.is(origin?.kind, 'unknown', `${behindMs} ms`);
  });
});

suite('after a suspension, the version is not guessed from a list before it', () => {
  const world = fixtures.aStreamOriginsWorld(2);
  world.advance(1_000);
  world.cutOff(1);
  world.release(['v1', 'v2']);
  world.begin(0, 'stream', 'v2');
  world.advance(5_000);
  world.suspend(1, 5_000);
  const found = world.find(1, 'stream');
  world.advance(ANSWERED_MS);
  assert.is(found.origin?.kind, 'unknown');
});

suite(
  'a stream that began at a version after it had left is not taken for one of the other',
  () => {
    const world = fixtures.aStreamOriginsWorld(2);
    world.release(['v1', 'v2']);
    world.advance(QUIET_MS);
    world.cutOff(0);
    world.release(['v2']);
    world.advance(LAG_MS);
    world.begin(0, 'stream', 'v1');
    world.advance(fixtures.LONGEST_STREAM_MS);
    const found = world.find(1, 'stream');
    world.advance(ANSWERED_MS);
    assert.is(found.origin?.kind, 'unknown');
  },
);

suite('streams begin at no version that this task has not heard of', () => {
  const world = fixtures.aStreamOriginsWorld(2);
  world.advance(1_000);
  assert.ok(world.mayBegin(0, 'v1'));
  assert.not(world.mayBegin(0, 'v2'));
});

suite(
  'streams begin at a further version once it is recorded, and at the first all the while',
  () => {
    const world = fixtures.aStreamOriginsWorld(2);
    world.advance(1_000);
    world.setStoreDown(true);
    world.release(['v1', 'v2']);
    world.advance(1_000);
    assert.ok(world.mayBegin(0, 'v1'));
    assert.not(world.mayBegin(0, 'v2'));
    world.setStoreDown(false);
    world.advance(1_000);
    assert.ok(world.mayBegin(0, 'v1'));
    assert.ok(world.mayBegin(0, 'v2'));
  },
);

suite('after a start beside several versions, streams begin at those that are recorded', () => {
  const world = fixtures.aStreamOriginsWorld(2);
  world.advance(1_000);
  world.release(['v1', 'v2']);
  world.setStoreDown(true);
  world.killAll();
  assert.not(world.mayBegin(0, 'v1'));
  assert.not(world.mayBegin(0, 'v2'));
  world.setStoreDown(false);
  world.advance(1_000);
  assert.ok(world.mayBegin(0, 'v1'));
  assert.ok(world.mayBegin(0, 'v2'));
});

suite.run();
