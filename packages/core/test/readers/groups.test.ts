/**
 * Which instances read for which. Too many readers overload a context store, and an instance without a
 * candidate must read for itself.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('readers: groups');
const { divide } = core.readers.groups;

const MAX_READERS = 12;

function members(count: number, dataCentres: number) {
  return Array.from({ length: count }, (_, at) => ({
    name: `instance-${at}`,
    dataCentre: `dc-${at % dataCentres}`,
    processorShare: at % 7 === 0 ? 0.7 : 0.3,
  }));
}

suite('a small deployment reads for itself', () => {
  const all = members(9, 3);
  all.forEach(({ name }) => assert.is(divide(name, all, MAX_READERS).isShared, false));
});

suite('each group has one reader, all groups together fewer than a store bears', () => {
  const property = fc.property(
    fc.integer({ min: 10, max: 400 }),
    fc.integer({ min: 1, max: 14 }),
    (count, dataCentres) => {
      const all = members(count, dataCentres);
      const divided = all.map(({ name }) => divide(name, all, MAX_READERS));
      const readers = divided.filter(({ candidates }) => candidates.length === 0);
      assert.ok(readers.length >= 1);
      assert.ok(readers.length <= MAX_READERS * 0.67);
      divided.forEach(({ isShared, otherReaders }) => {
        assert.ok(isShared);
        assert.ok(otherReaders.length <= 2 * (readers.length - 1));
      });
    },
  );
  fc.assert(property, fixtures.seeded(60));
});

suite('the strongest machine of a group reads for the others', () => {
  const all = members(60, 2);
  const shares = new Map(all.map(({ name, processorShare }) => [name, processorShare]));
  const readers = all.filter(({ name }) => divide(name, all, MAX_READERS).candidates.length === 0);
  readers.forEach(({ name }) => assert.is(shares.get(name), 0.7));
});

suite('an instance that is not among the members reads for itself', () => {
  assert.is(divide('stranger', members(60, 2), MAX_READERS).isShared, false);
});

suite.run();
