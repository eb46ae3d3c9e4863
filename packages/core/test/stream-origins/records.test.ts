/** Guards against records of streams and versions that are lost, or that lapse, while others rely on them. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('records of streams and their versions');

const ONE_SECOND_MS = 1_000;
const ANSWERED_MS = 1_300;

function aWorldOf(versions: readonly string[]) {
  const world = fixtures.aStreamOriginsWorld(2);
  world.advance(ONE_SECOND_MS);
  world.release(versions);
  world.advance(ONE_SECOND_MS);
  return world;
}

suite(
  'an instance that starts again keeps its earlier streams, however slow the listing is',
  () => {
    const world = aWorldOf(['v1', 'v2']);
    world.begin(0, 'stream', 'v2');
    world.advance(ONE_SECOND_MS);
    world.world.listingMs = 400;
    world.killAll();
    world.advance(ONE_SECOND_MS);
    const found = world.find(1, 'stream');
    world.advance(ANSWERED_MS);
    assert.equal(found.origin, { kind: 'known', version: 'v2', evidence: 'recorded' });
  },
);

/** Guards against a join by an instance that starts again after a quiet time. */
suite(
  'a version counts for as long as it is listed anywhere, however long no stream has begun',
  () => {
    const world = aWorldOf(['v1', 'v2']);
    world.advance(60 * ONE_SECOND_MS);
    world.cutOff(0);
    world.begin(0, 'stream', 'v1');
    world.release(['v2']);
    world.restart(1);
    const found = world.find(1, 'stream');
    world.advance(ANSWERED_MS);
    assert.is(found.origin?.kind, 'unknown');
  },
);

suite(
  'an instance that cannot renew its record begins no stream at the versions that it names',
  () => {
    const world = aWorldOf(['v1', 'v2']);
    assert.ok(world.mayBegin(0, 'v2'));
    world.setStoreDown(true);
    world.advance(40 * ONE_SECOND_MS);
    assert.not(world.mayBegin(0, 'v2'));
  },
);

suite('a version that has left stops counting, though streams are looked up all the while', () => {
  const world = aWorldOf(['v1', 'v2']);
  world.release(['v2']);
  Array.from({ length: 240 }).forEach((_, at) => {
    world.begin(0, `begun-${at}`, 'v2');
    world.find(0, `asked-${at}`);
    world.advance(ONE_SECOND_MS);
  });
  const { writes } = world.world;
  const found = world.find(1, 'stream');
  world.advance(ANSWERED_MS);
  assert.equal(found.origin, { kind: 'known', version: 'v2', evidence: 'only-version' });
  assert.is(world.world.writes, writes);
});

suite('in a large deployment, streams begin at a further version as soon as in a small one', () => {
  const world = aWorldOf(['v1', 'v2']);
  world.resize(380);
  world.begin(0, 'stream', 'v2');
  world.advance(ONE_SECOND_MS);
  world.release(['v1', 'v2', 'v3']);
  world.advance(200);
  assert.ok(world.mayBegin(0, 'v3'));
});

suite.run();
