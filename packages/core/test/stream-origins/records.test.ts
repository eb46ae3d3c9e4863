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

suite.run();
