import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('shared context: readers of a store');
const { relayTargets: listenersOf, chooseReaders: readersOf } = core.sharedContext.eventReaders;

function members(count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `instance-${at}`);
}

suite(
  'every instance reads the store or is told by readers, and the store bears its readers',
  () => {
    const property = fc.property(fc.integer({ min: 1, max: 400 }), (count) => {
      const all = members(count);
      const store = fixtures.aContextStore();
      const readers = readersOf(store, all);
      assert.ok(readers.length <= store.maxReaders);
      const told = all.flatMap((name) => listenersOf(name, store, all));
      all.forEach((name) => {
        const times = told.filter((each) => each === name).length;
        assert.is(times, readers.includes(name) ? 0 : 2);
      });
    });
    fc.assert(property, { seed: 20_261_204, numRuns: 20 });
  },
);

suite('a small deployment reads each store at every instance', () => {
  assert.is(readersOf(fixtures.aContextStore(), members(7)).length, 7);
});

suite.run();
