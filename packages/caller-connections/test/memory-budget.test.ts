/** Guards against a budget that drops ordinary callers before those that stopped short of their end. */
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as memoryBudget from '../src/memory-budget.js';

const suite = uvu.suite('memory budget');

const BUDGET: memoryBudget.Budget = { connectionBytes: 100, processBytes: 1_000 };

const aHolder = (
  key: string,
  changed: Partial<memoryBudget.Holder<string>> = {},
): memoryBudget.Holder<string> => ({ key, peer: 'p-1', bytes: 100, heldMs: 50, ...changed });

const keysOf = (chosen: readonly { key: string }[]) => chosen.map(({ key }) => key);

suite('a connection and the process are judged by their own bound', () => {
  assert.equal(memoryBudget.judge(BUDGET, 100, 1_000), { kind: 'fits' });
  assert.equal(memoryBudget.judge(BUDGET, 101, 200), { kind: 'connection-over' });
  assert.equal(memoryBudget.judge(BUDGET, 50, 1_010), { kind: 'process-over', excessBytes: 110 });
});

suite('a stalled head goes before a larger upload that goes on', () => {
  const upload = aHolder('upload', { bytes: 4_000_000 });
  const stalled = aHolder('stalled', { bytes: 100_000, heldMs: 10_000 });
  assert.equal(keysOf(memoryBudget.choose([upload, stalled], 1)), ['stalled']);
});

suite('the address that holds the most goes first, and only until the excess is freed', () => {
  const crowd = ['a', 'b', 'c'].map((key) => aHolder(key, { peer: 'crowd' }));
  const single = aHolder('single', { bytes: 200 });
  assert.equal(keysOf(memoryBudget.choose([single, ...crowd], 150)), ['a', 'b']);
});

suite('a request that runs gives nothing back and is not chosen', () => {
  assert.equal(memoryBudget.choose([aHolder('running', { bytes: 0 })], 10), []);
});

suite('half a head gives way before unused connections, kept ones last, those in use never', () => {
  const all = (['in-use', 'kept', 'unused', 'half-a-head'] as const).map((use) => ({
    key: use,
    use,
    waitedMs: 1,
  }));
  assert.equal(keysOf(memoryBudget.chooseIdle(all, 4)), ['half-a-head', 'unused', 'kept']);
});

suite.run();
