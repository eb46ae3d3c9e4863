/**
 * Guards against a bad version that gets more than its share of requests, or goes on after its rollback
 * was due, whatever happens to instances, links and the store.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('canary: bad versions');
const { canarySchedule, canaryWorld } = fixtures;

/** With those of the files beside this one, 1,000 schedules; each file runs in a process of its own. */
const [FIRST_SEED, SCHEDULES] = [1, 375];

suite('each is rolled back in time and within the exposure limit', () => {
  const seeds = Array.from({ length: SCHEDULES }, (_, at) => FIRST_SEED + at);
  const found = seeds.flatMap((seed) => {
    const { state, violations } = canaryWorld.play(canarySchedule.aSchedule(seed, false));
    const faults = state === 'rolled_back' ? violations : [`ended as ${state}`, ...violations];
    return faults.map((fault) => `seed ${seed}: ${fault}`);
  });
  assert.equal(found, []);
});

suite.run();
