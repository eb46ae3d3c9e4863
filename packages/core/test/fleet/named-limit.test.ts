/** Guards against a limit that is forgotten, or kept, because answers overtook each other. */
import * as core from '@medlarweir/core';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: limit that an upstream names');

const { namedLimit } = core.fleet;

/** The limit after answers, each with its limit, when its request was sent, and when it arrived. */
function limitAfter(
  ...answers: readonly (readonly [perS: number | undefined, sentAtMs: number, atMs: number])[]
): number | undefined {
  return answers.reduce<core.fleet.namedLimit.NamedLimit | undefined>(
    (known, [perS, sentAtMs, atMs]) => namedLimit.afterAnswer(known, { perS, sentAtMs }, atMs),
    undefined,
  )?.perS;
}

suite('an answer names a limit, and a later one names another or none', () => {
  assert.is(limitAfter([5, 0, 10]), 5);
  assert.is(limitAfter([5, 0, 10], [8, 10, 20]), 8);
  assert.is(limitAfter([5, 0, 10], [undefined, 10, 20]), undefined);
});

suite('of answers in an order that is not known, the lower limit holds', () => {
  assert.is(limitAfter([5, 0, 10], [8, 9, 20]), 5);
  assert.is(limitAfter([5, 0, 10], [2, 9, 20]), 2);
  assert.is(limitAfter([5, 0, 10], [undefined, 9, 20]), 5);
});

suite('an answer that came between does not make an older one newer', () => {
  assert.is(limitAfter([5, 0, 10], [5, 12, 30], [undefined, 20, 40]), 5);
  assert.is(limitAfter([5, 0, 10], [5, 12, 30], [undefined, 30, 40]), undefined);
});

suite.run();
