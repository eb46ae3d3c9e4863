/**
 * A store accepts few event calls: too many readers overload it, and an instance without a reader or relay
 * would never learn of changes.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('shared context: readers of a store');
const { relayTargets, chooseReaders } = core.sharedContext.eventReaders;

function members(count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `instance-${at}`);
}

suite(
  'every instance reads the store or has two relays, and readers stay within the limit of the store',
  () => {
    const property = fc.property(fc.integer({ min: 1, max: 400 }), (count) => {
      const all = members(count);
      const store = fixtures.aContextStore();
      const readers = chooseReaders(store, all);
      assert.ok(readers.length <= store.maxReaders);
      const relayed = all.flatMap((name) => relayTargets(name, store, all));
      all.forEach((name) => {
        const times = relayed.filter((each) => each === name).length;
        assert.is(times, readers.includes(name) ? 0 : 2);
      });
    });
    fc.assert(property, { seed: 20_261_204, numRuns: 20 });
  },
);

suite('in a small deployment every instance reads each store', () => {
  assert.is(chooseReaders(fixtures.aContextStore(), members(7)).length, 7);
});

suite.run();
